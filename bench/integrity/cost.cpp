// Measures the cost of checksums: the throughput of the tag code alone, and the initiator's processor time
// per request of an export with checksums and of one without.
#include <array>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <string>

#include "integrity/crc32c.h"
#include "integrity/volume.h"
#include "parts.h"
#include "test_environment.h"

namespace walnutspur::bench {
namespace {

constexpr int kCallsPerRound = 1000;
constexpr auto kMeasuringTime = std::chrono::milliseconds(200);
constexpr std::uint64_t kOffsets = 32;  // number of offsets of requests, in multiples of their size
constexpr std::uint32_t kMaxRequestBytes = 65536;    // bytes
constexpr std::uint64_t kPlainWriteStart = 8 << 20;  // offset of the writes to the plain export
constexpr double kMaxOverhead = 0.05;

// Returns the throughput, in gigabytes per second, of a call that processes one block.
template <typename Call>
double MeasureThroughput(Call call) {
  using Clock = std::chrono::steady_clock;
  const auto start = Clock::now();
  std::size_t calls = 0;
  while (Clock::now() - start < kMeasuringTime) {
    for (int i = 0; i < kCallsPerRound; ++i) {
      call();
    }
    calls += kCallsPerRound;
  }
  const double seconds = std::chrono::duration<double>(Clock::now() - start).count();
  return static_cast<double>(calls) * kBlockBytes / seconds / 1e9;
}

void MeasureTagCode(Run& run) {
  const std::string block(kBlockBytes, '\0');
  std::string copy(kBlockBytes, '\0');
  volatile std::uint32_t sink = 0;  // keeps the compiler from removing the call
  const double tags =
      MeasureThroughput([&] { sink = sink + integrity::TagSum(integrity::DataSum(block), 1, 2, 3); });
  const double copies = MeasureThroughput([&] {
    std::memcpy(copy.data(), block.data(), kBlockBytes);
    __asm__ volatile("" : : "r"(copy.data()) : "memory");  // keeps the compiler from removing the copy
  });
  run.Claim("4 tag code", true, std::to_string(tags) + " GB/s, memcpy " + std::to_string(copies) + " GB/s");
}

struct Workload {
  std::uint32_t size = 0;  // bytes of a request
  bool writes = false;
  int batch = 0;   // requests
  int rounds = 0;  // batches of each export
};

// Processor seconds by export.
struct ProcessorTime {
  double checked = 0;
  double plain = 0;
};

void RunBatch(TestEnvironment& test_environment, nbd::BlockingClient& client, const Workload& workload,
              bool checked, const std::string& data) {
  for (int i = 0; i < workload.batch; ++i) {
    const std::uint64_t offset = test_environment.Draw(kOffsets) * workload.size;
    if (!workload.writes) {
      client.Read(offset, workload.size);
      continue;
    }
    // Both exports use the same device: writes to the plain one use blocks that the checked one does not use.
    client.Write(checked ? offset : kPlainWriteStart + offset, data);
  }
  if (checked && workload.writes) {
    test_environment.WaitForCheckpoint();  // the cost includes checkpoints
  }
}

ProcessorTime MeasureWorkload(TestEnvironment& test_environment, const Workload& workload) {
  const auto checked_client = test_environment.Connect("checked");
  const auto plain_client = test_environment.Connect("plain");
  const std::string data = test_environment.RandomData(workload.size);
  ProcessorTime used;
  for (int round = 0; round < workload.rounds; ++round) {
    const double start = test_environment.initiator().cpu();
    RunBatch(test_environment, *checked_client, workload, true, data);
    const double middle = test_environment.initiator().cpu();
    used.checked += middle - start;
    RunBatch(test_environment, *plain_client, workload, false, data);
    used.plain += test_environment.initiator().cpu() - middle;
  }
  return used;
}

void ReportOverhead(Run& run, const Workload& workload, const ProcessorTime& used) {
  const double overhead = used.checked / used.plain - 1;
  const int requests = workload.rounds * workload.batch;
  std::array<char, 160> figure{};
  std::snprintf(figure.data(), figure.size(), "%+.1f %% CPU a request (%.1f us with, %.1f us without)",
                100 * overhead, used.checked / requests * 1e6, used.plain / requests * 1e6);
  run.Claim(
      "4 cost of a " + std::to_string(workload.size / 1024) + " KiB " + (workload.writes ? "write" : "read"),
      overhead <= kMaxOverhead, figure.data());
}

// Writes all blocks that are read later: blocks that were never written are not read from the server, so that
// reads would appear to cost less.
void Fill(TestEnvironment& test_environment) {
  const auto client = test_environment.Connect("checked");
  for (std::uint64_t i = 0; i < kOffsets; ++i) {
    WriteWithRetry(*client, i * kMaxRequestBytes, test_environment.RandomData(kMaxRequestBytes));
  }
  test_environment.WaitForCheckpoint();
}

}  // namespace

void MeasureCost(Run& run) {
  MeasureTagCode(run);
  TestEnvironment test_environment(run, {.plain = true});
  Fill(test_environment);
  for (const std::uint32_t size : {4096U, 16384U, kMaxRequestBytes}) {
    for (const bool writes : {false, true}) {
      const Workload workload{size, writes, run.Amount(1500, 250), run.Amount(6, 3)};
      ReportOverhead(run, workload, MeasureWorkload(test_environment, workload));
    }
  }
}

}  // namespace walnutspur::bench
