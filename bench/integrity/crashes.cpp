// Kills the initiator or the storage server while a client writes, or cuts the storage server's power, and
// reads everything back after the restart: no acknowledged and flushed write may be lost.
#include <poll.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <exception>
#include <string>
#include <thread>
#include <vector>

#include "parts.h"
#include "test_environment.h"

namespace walnutspur::bench {
namespace {

constexpr std::uint64_t kBlocks = 64;
constexpr std::uint64_t kMaxCrashDelay = 60;  // ms
constexpr std::uint64_t kWritesPerFlush = 6;  // on average
constexpr int kExitTimeout = 5000;            // ms
constexpr int kReadAttempts = 50;
constexpr int kRetryInterval = 10;  // ms

enum class Crash { kInitiator, kStorageServer, kPowerCut };

class Measurement {
 public:
  explicit Measurement(const Run& run) : test_environment_(run, {.child_server = true}) {}

  // Causes one crash during writes and verifies all blocks after the restart.
  void CrashAndVerify() {
    auto client = test_environment_.Connect();
    const auto delay = static_cast<int>(test_environment_.Draw(kMaxCrashDelay));
    const Crash crash = DrawCrash();
    std::atomic<bool> crashed = false;
    std::thread killer([&] {
      poll(nullptr, 0, delay);
      Execute(crash);
      crashed = true;
    });
    try {
      WriteUntilCrash(*client, crashed);
    } catch (const std::exception&) {
      // The connection was closed because the initiator exited.
    }
    killer.join();
    client.reset();
    Restart(crash);
    Verify(crash);
  }

  void Report(Run& run, int crashes) const {
    run.Claim("2 kills", unexpected_blocks_ == 0 && false_alarms_ == 0,
              std::to_string(crashes) + " kills (" + std::to_string(crashes - server_crashes_) +
                  " of the initiator and " + std::to_string(server_crashes_ - power_cuts_) +
                  " of the storage server by SIGKILL, " + std::to_string(power_cuts_) + " of its power), " +
                  std::to_string(writes_) + " writes: " + std::to_string(unexpected_blocks_) +
                  " blocks lost, " + std::to_string(false_alarms_) + " false alarms");
  }

 private:
  Crash DrawCrash() {
    if (test_environment_.Draw(3) != 0) {
      return Crash::kInitiator;
    }
    return test_environment_.Draw(2) == 0 ? Crash::kPowerCut : Crash::kStorageServer;
  }

  void Execute(Crash crash) {
    switch (crash) {
      case Crash::kInitiator:
        test_environment_.initiator().Kill();
        break;
      case Crash::kStorageServer:
        test_environment_.server_process().Kill();
        break;
      case Crash::kPowerCut:
        test_environment_.server_process().Signal(SIGUSR2);
        test_environment_.server_process().Wait(kExitTimeout);
        break;
    }
  }

  void WriteUntilCrash(nbd::BlockingClient& client, const std::atomic<bool>& crashed) {
    while (true) {
      const std::uint64_t block = test_environment_.Draw(kBlocks);
      const std::string data = test_environment_.RandomData(kBlockBytes);
      contents_[block].push_back(data);
      const nbd::Error error = client.Write(block * kBlockBytes, data).error;
      const bool rejected = error == nbd::kNoMemory;
      if (rejected) {
        contents_[block].pop_back();  // it was not executed
      }
      if ((rejected && crashed) || (!rejected && error != nbd::kOk)) {
        return;
      }
      ++writes_;
      if (test_environment_.Draw(kWritesPerFlush) == 0) {
        Flush(client);
      }
    }
  }

  // Flushes the export, after which only the newest content of each block is possible.
  void Flush(nbd::BlockingClient& client) {
    if (client.Flush().error != nbd::kOk) {
      return;
    }
    for (auto& possible : contents_) {
      possible.erase(possible.begin(), possible.end() - 1);
    }
  }

  void Restart(Crash crash) {
    test_environment_.initiator().Kill();
    if (crash != Crash::kInitiator && !test_environment_.StartChildServer()) {
      throw BenchError("the storage server did not restart");
    }
    power_cuts_ += crash == Crash::kPowerCut ? 1 : 0;
    server_crashes_ += crash != Crash::kInitiator ? 1 : 0;
    test_environment_.StartInitiator();
  }

  void Verify(Crash crash) {
    const auto client = test_environment_.Connect();
    for (std::uint64_t block = 0; block < kBlocks; ++block) {
      const nbd::Reply reply = Read(*client, block);
      if (reply.error != nbd::kOk) {
        ++false_alarms_;
        continue;
      }
      Compare(block, nbd::DataOf(reply), crash);
    }
    Flush(*client);
  }

  static nbd::Reply Read(nbd::BlockingClient& client, std::uint64_t block) {
    nbd::Reply reply = client.Read(block * kBlockBytes, kBlockBytes);
    for (int i = 0; i < kReadAttempts && reply.error == nbd::kNoMemory && reply.error_offsets.empty(); ++i) {
      poll(nullptr, 0, kRetryInterval);
      reply = client.Read(block * kBlockBytes, kBlockBytes);
    }
    return reply;
  }

  // Compares the content found with the possible ones, and makes it the newest. Until a flush, a power cut
  // can still restore an earlier one; content found after a power cut is durable.
  void Compare(std::uint64_t block, const std::string& found, Crash crash) {
    auto& possible = contents_[block];
    if (std::find(possible.begin(), possible.end(), found) == possible.end()) {
      ++unexpected_blocks_;
    }
    std::erase(possible, found);
    if (crash == Crash::kPowerCut) {
      possible.clear();
    }
    possible.push_back(found);
  }

  TestEnvironment test_environment_;
  // By block: each content that a read may return, the newest last.
  std::vector<std::vector<std::string>> contents_ =
      std::vector(kBlocks, std::vector{std::string(kBlockBytes, '\0')});
  int writes_ = 0;
  int server_crashes_ = 0;
  int power_cuts_ = 0;
  int unexpected_blocks_ = 0;  // whose content is not a possible one
  int false_alarms_ = 0;       // blocks that are reported as corrupt
};

}  // namespace

void MeasureCrashes(Run& run) {
  const int wanted = run.Amount(500, 40);
  Measurement measurement(run);
  for (int i = 0; i < wanted; ++i) {
    measurement.CrashAndVerify();
  }
  measurement.Report(run, wanted);
}

}  // namespace walnutspur::bench
