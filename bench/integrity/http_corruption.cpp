// Injects corruption into objects by HTTP and compares what clients and the corruption log show with what was
// injected.
#include <array>
#include <map>
#include <string>

#include "http_client.h"
#include "parts.h"
#include "test_environment.h"

namespace walnutspur::bench {
namespace {

using lab::CorruptionKind;

constexpr std::array kKinds = {CorruptionKind::kTransitBitFlip, CorruptionKind::kLostWrite,
                               CorruptionKind::kTornWrite, CorruptionKind::kStaleRead,
                               CorruptionKind::kMisdirectedWrite};
constexpr std::size_t kObjectBytes = 300;
constexpr int kRereads = 2;
constexpr int kOk = 200;
// The first object by path, which the fake storage server overwrites by misdirected writes.
constexpr std::uint64_t kOverwrittenKey = 0;

bool IsWriteFault(CorruptionKind damage) {
  return damage == CorruptionKind::kLostWrite || damage == CorruptionKind::kTornWrite ||
         damage == CorruptionKind::kMisdirectedWrite;
}

class Measurement {
 public:
  explicit Measurement(const Run& run) : test_environment_(run, {}), client_(test_environment_.http_port()) {
    client_.Put(kOverwrittenKey, test_environment_.RandomData(kObjectBytes));
  }

  // Writes an object twice, with a fault of the kind injected into the second write or the read after it.
  void Inject(std::uint64_t key, CorruptionKind damage) {
    const std::string old_body = test_environment_.RandomData(kObjectBytes);
    const std::string body = test_environment_.RandomData(kObjectBytes);
    const bool at_rest = IsWriteFault(damage);
    const lab::Fault fault{damage, lab::kAnyPath, 0, 1};
    bool written = client_.PutWithRetry(key, old_body);
    corrupt_at_rest_[ObjectPath(key)] = at_rest;
    if (at_rest) {
      test_environment_.server().AddFault(fault);
    }
    written = written && client_.PutWithRetry(key, body);
    if (!at_rest) {
      test_environment_.server().AddFault(fault);
    }
    failed_writes_ += written ? 0 : 1;
    Read(key, body);
  }

  void Report(Run& run, int injected) {
    CompareWithLog();
    const std::string total = std::to_string(injected);
    run.Claim("1 damages over HTTP",
              detected_ == injected && delivered_ == 0 && failed_writes_ == 0 && false_alarms_ == 0,
              std::to_string(detected_) + " of " + total + " detected, " + std::to_string(delivered_) +
                  " delivered corrupt, " + std::to_string(failed_writes_) + " writes failed, " +
                  std::to_string(false_alarms_) + " false alarms");
    run.Claim(
        "1 blame over HTTP", attributed_ == injected,
        std::to_string(attributed_) + " of " + total + " (at rest, or the target's memory or its only path)");
  }

 private:
  // Reads the object several times, since attribution compares responses with each other; retries count as
  // well.
  void Read(std::uint64_t key, const std::string& body) {
    const bool intact_or_rejected = !DeliversCorruption(key, body);
    for (int i = 0; i < kRereads; ++i) {
      DeliversCorruption(key, body);
    }
    std::uint64_t injections = 0;
    for (const CorruptionKind damage : kKinds) {
      injections += test_environment_.server().injections(damage);
    }
    detected_ += injections > injections_before_ && intact_or_rejected ? 1 : 0;
    injections_before_ = injections;
  }

  bool DeliversCorruption(std::uint64_t key, const std::string& body) {
    const HttpResponse response = client_.Get(key);
    const bool corrupt = response.code == kOk && response.body != body;
    delivered_ += corrupt ? 1 : 0;
    return corrupt;
  }

  void CompareWithLog() {
    const CorruptionLog log = test_environment_.LoadCorruptionLog();
    for (const auto& [path, at_rest] : corrupt_at_rest_) {
      const auto* entry = log.Find({"a", path, 0});
      const integrity::Fault expected = at_rest ? integrity::Fault::kAtRest : integrity::Fault::kMemory;
      attributed_ += entry && entry->fault == expected ? 1 : 0;
    }
    for (const auto& [location, entry] : log.entries()) {
      const bool expected =
          corrupt_at_rest_.contains(location.remote) || location.remote == ObjectPath(kOverwrittenKey);
      false_alarms_ += expected ? 0 : 1;
    }
  }

  TestEnvironment test_environment_;
  HttpClient client_;
  std::map<std::string, bool>
      corrupt_at_rest_;  // by path: whether the stored object is corrupt, or a read of it
  std::uint64_t injections_before_ = 0;
  int detected_ = 0;
  int delivered_ = 0;  // corrupt responses
  int failed_writes_ = 0;
  int attributed_ = 0;  // to the right fault
  int false_alarms_ = 0;
};

}  // namespace

void MeasureHttpCorruption(Run& run) {
  const int wanted = run.Amount(5000, 400);
  Measurement measurement(run);
  for (int i = 0; i < wanted; ++i) {
    measurement.Inject(1 + static_cast<std::uint64_t>(i),
                       kKinds[static_cast<std::size_t>(i) % kKinds.size()]);
  }
  measurement.Report(run, wanted);
}

}  // namespace walnutspur::bench
