// Reads intact blocks during overlapping unaligned writes: no block may be reported as corrupt.
#include <atomic>
#include <string>
#include <thread>

#include "parts.h"
#include "test_environment.h"

namespace walnutspur::bench {
namespace {

constexpr std::uint64_t kBlocks = 512;
constexpr std::uint32_t kBlocksPerRead = 16;
constexpr std::uint64_t kMaxWriteBytes = 16000;
constexpr std::uint64_t kWriteMargin = 20000;  // bytes at the end in which no write starts
constexpr int kReadsInFlight = 8;
constexpr int kReplyTimeout = 5000;  // ms

// Writes at random offsets on its own thread until it is stopped or destroyed.
class BackgroundWriter {
 public:
  explicit BackgroundWriter(TestEnvironment* test_environment)
      : test_environment_(test_environment), thread_([this] { Write(); }) {}
  ~BackgroundWriter() { Stop(); }
  BackgroundWriter(const BackgroundWriter&) = delete;
  BackgroundWriter& operator=(const BackgroundWriter&) = delete;

  void Stop() {
    stopping_ = true;
    if (thread_.joinable()) {
      thread_.join();
    }
  }
  int writes() const { return writes_; }

 private:
  void Write() {
    const auto client = test_environment_->Connect();
    while (!stopping_) {
      const std::uint64_t offset = test_environment_->Draw(kBlocks * kBlockBytes - kWriteMargin);
      const std::string data = test_environment_->RandomData(1 + test_environment_->Draw(kMaxWriteBytes));
      if (client->Write(offset, data).error == nbd::kOk) {
        ++writes_;
      }
    }
  }

  TestEnvironment* test_environment_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> writes_ = 0;
  std::thread thread_;  // the last member, since it uses the others
};

struct ReadCounts {
  int intact_blocks = 0;
  int corrupt_blocks = 0;
  int rejected_reads = 0;
};

ReadCounts ReadBlocks(TestEnvironment& test_environment, int wanted_blocks) {
  const auto client = test_environment.Connect();
  ReadCounts counts;
  int in_flight = 0;
  while (counts.intact_blocks < wanted_blocks) {
    for (; in_flight < kReadsInFlight; ++in_flight) {
      nbd::Request request;
      request.type = nbd::kRead;
      request.offset = test_environment.Draw(kBlocks - kBlocksPerRead) * kBlockBytes;
      request.length = kBlocksPerRead * kBlockBytes;
      client->Send(request);
    }
    for (const nbd::Reply& reply : client->ReceiveReplies(kReplyTimeout)) {
      --in_flight;
      counts.intact_blocks += reply.error == nbd::kOk ? static_cast<int>(kBlocksPerRead) : 0;
      counts.corrupt_blocks += static_cast<int>(reply.error_offsets.size());
      counts.rejected_reads += reply.error != nbd::kOk && reply.error_offsets.empty() ? 1 : 0;
    }
  }
  return counts;
}

}  // namespace

void MeasureCleanBlocks(Run& run) {
  TestEnvironment test_environment(run, {.paths = 2});
  BackgroundWriter writer(&test_environment);
  const ReadCounts counts = ReadBlocks(test_environment, run.Amount(1'000'000, 60'000));
  writer.Stop();
  const CorruptionLog log = test_environment.LoadCorruptionLog();
  run.Claim("1 false alarms", counts.corrupt_blocks == 0 && log.entries().empty(),
            std::to_string(counts.corrupt_blocks) + " blocks reported as corrupt, " +
                std::to_string(log.entries().size()) + " in the corruption log, in " +
                std::to_string(counts.intact_blocks) + " intact blocks during " +
                std::to_string(writer.writes()) + " overlapping writes (" +
                std::to_string(counts.rejected_reads) + " reads rejected)");
}

}  // namespace walnutspur::bench
