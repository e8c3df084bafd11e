// Injects every kind of corruption into the data of an export and compares what clients and the corruption
// log show with what was injected.
#include <array>
#include <cstdio>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "parts.h"
#include "test_environment.h"

namespace walnutspur::bench {
namespace {

using lab::CorruptionKind;

constexpr std::uint64_t kBlocks = 600;
constexpr std::uint64_t kFillBlocks = 16;          // of one write
constexpr std::uint64_t kFaultsPerKind = 16;       // of one round
constexpr std::uint64_t kMisdirectedDistance = 2;  // blocks
constexpr int kReadsPerBlock = 3;
constexpr std::array kKinds = {CorruptionKind::kLostWrite, CorruptionKind::kMisdirectedWrite,
                               CorruptionKind::kTornWrite, CorruptionKind::kStoredBitFlip,
                               CorruptionKind::kStaleRead, CorruptionKind::kTransitBitFlip};

struct Tally {
  int injected = 0;
  int detected = 0;
  int attributed = 0;   // to the right fault
  int wrong_reads = 0;  // reads that returned other data than was written, and writes that failed
  int false_alarms = 0;
  std::map<std::string, int> misattributed;  // "kind->fault"
};

bool IsWriteFault(CorruptionKind damage) {
  return damage == CorruptionKind::kLostWrite || damage == CorruptionKind::kMisdirectedWrite ||
         damage == CorruptionKind::kTornWrite;
}

bool IsReadFault(CorruptionKind damage) {
  return damage == CorruptionKind::kStaleRead || damage == CorruptionKind::kTransitBitFlip;
}

integrity::Fault ExpectedFault(CorruptionKind damage) {
  switch (damage) {
    case CorruptionKind::kLostWrite:
      return integrity::Fault::kLostWrite;
    case CorruptionKind::kMisdirectedWrite:
      return integrity::Fault::kMisdirectedWrite;
    case CorruptionKind::kStaleRead:
      return integrity::Fault::kStaleRead;
    case CorruptionKind::kTransitBitFlip:
      return integrity::Fault::kPath;
    default:
      return integrity::Fault::kAtRest;
  }
}

// Runs one test environment with corruption of all kinds, at blocks far enough from each other not to
// overlap.
class Round {
 public:
  Round(const Run& run, Tally* tally)
      : test_environment_(run, {.paths = 2}),
        client_(test_environment_.Connect()),
        content_(test_environment_.RandomData(kBlocks * kBlockBytes)),
        tally_(tally) {}

  void Measure() {
    for (int generation = 0; generation < 2; ++generation) {
      Fill();
    }
    ChooseBlocks();
    InjectWriteFaults();
    InjectStoredFaults();
    InjectReadFaults();
    const std::uint64_t injections = CountInjections();
    CompareWithLog();
    tally_->injected += static_cast<int>(corrupt_.size());
    if (injections < corrupt_.size()) {
      std::printf("     %llu of %zu injected\n", static_cast<unsigned long long>(injections),
                  corrupt_.size());
    }
  }

 private:
  void Fill() {
    content_ = test_environment_.RandomData(kBlocks * kBlockBytes);
    const std::size_t size = kFillBlocks * kBlockBytes;
    for (std::size_t offset = 0; offset < content_.size(); offset += size) {
      if (!WriteWithRetry(*client_, offset, content_.substr(offset, size))) {
        ++tally_->wrong_reads;
      }
    }
    test_environment_.WaitForCheckpoint();
  }

  void ChooseBlocks() {
    std::uint64_t block = 1;
    for (std::uint64_t i = 0; i < kKinds.size() * kFaultsPerKind && block + 4 < kBlocks; ++i) {
      corrupt_[block] = kKinds[i % kKinds.size()];
      block += 5 + test_environment_.Draw(2);
    }
  }

  void InjectWriteFaults() {
    for (const auto& [block, damage] : corrupt_) {
      if (!IsWriteFault(damage)) {
        continue;
      }
      lab::Fault fault = FaultAt(block, damage);
      fault.elsewhere = (block + kMisdirectedDistance) * kBlockBytes;
      if (damage == CorruptionKind::kMisdirectedWrite) {
        overwritten_.insert(block + kMisdirectedDistance);
      }
      test_environment_.server().AddFault(fault);
      const std::string data = test_environment_.RandomData(kBlockBytes);
      WriteWithRetry(*client_, block * kBlockBytes, data);
      content_.replace(block * kBlockBytes, kBlockBytes, data);
    }
    test_environment_.WaitForCheckpoint();
  }

  void InjectStoredFaults() {
    for (const auto& [block, damage] : corrupt_) {
      if (damage == CorruptionKind::kStoredBitFlip) {
        test_environment_.server().AddFault(FaultAt(block, damage));
      }
    }
  }

  // Injects the faults of reads one after the other, on the path that each read takes: a path that always
  // corrupts data would be avoided.
  void InjectReadFaults() {
    for (const auto& [block, damage] : corrupt_) {
      if (IsReadFault(damage)) {
        test_environment_.server().AddFault(FaultAt(block, damage));
      }
      ReadRepeatedly(block);
    }
    for (const std::uint64_t block : overwritten_) {
      ReadRepeatedly(block);
    }
  }

  static lab::Fault FaultAt(std::uint64_t block, CorruptionKind damage) {
    return {damage, lab::kAnyPath, block * kBlockBytes, (block + 1) * kBlockBytes};
  }

  void ReadRepeatedly(std::uint64_t block) {
    for (int i = 0; i < kReadsPerBlock; ++i) {
      Read(block);
    }
  }

  void Read(std::uint64_t block) {
    const nbd::Reply reply = client_->Read(block * kBlockBytes, kBlockBytes);
    const std::string written = content_.substr(block * kBlockBytes, kBlockBytes);
    if (reply.error == nbd::kOk && nbd::DataOf(reply) != written) {
      ++tally_->wrong_reads;
    }
    for (const nbd::Piece& piece : reply.partial) {
      tally_->wrong_reads += piece.size() > 0 ? 1 : 0;
    }
  }

  std::uint64_t CountInjections() {
    std::uint64_t total = 0;
    for (const CorruptionKind damage : kKinds) {
      total += test_environment_.server().injections(damage);
    }
    return total;
  }

  void CompareWithLog() {
    const CorruptionLog log = test_environment_.LoadCorruptionLog();
    for (const auto& [block, damage] : corrupt_) {
      const auto* entry = log.Find({"a", "disk", block});
      tally_->detected += entry != nullptr ? 1 : 0;
      const bool path_named =
          damage != CorruptionKind::kTransitBitFlip || (entry != nullptr && entry->path >= 0);
      if (entry && entry->fault == ExpectedFault(damage) && path_named) {
        ++tally_->attributed;
        continue;
      }
      const std::string found = entry ? integrity::NameOf(entry->fault) : "none";
      ++tally_->misattributed[std::string(lab::NameOf(damage)) + "->" + found];
    }
    for (const auto& [location, entry] : log.entries()) {
      const bool expected = corrupt_.contains(location.block) || overwritten_.contains(location.block);
      tally_->false_alarms += expected ? 0 : 1;
    }
  }

  TestEnvironment test_environment_;
  std::unique_ptr<nbd::BlockingClient> client_;
  std::string content_;                              // the expected content of the export
  std::map<std::uint64_t, CorruptionKind> corrupt_;  // by block
  std::set<std::uint64_t> overwritten_;              // blocks overwritten by a misdirected write
  Tally* tally_;
};

}  // namespace

void MeasureNbdCorruption(Run& run) {
  const int wanted = run.Amount(5000, 240);
  Tally tally;
  while (tally.injected < wanted) {
    Round(run, &tally).Measure();
  }
  std::string misattributed;
  for (const auto& [name, count] : tally.misattributed) {
    misattributed += " " + name + " " + std::to_string(count);
  }
  const std::string total = std::to_string(tally.injected);
  run.Claim("1 damages over NBD",
            tally.detected == tally.injected && tally.wrong_reads == 0 && tally.false_alarms == 0,
            std::to_string(tally.detected) + " of " + total + " detected, " +
                std::to_string(tally.wrong_reads) + " delivered corrupt, " +
                std::to_string(tally.false_alarms) + " false alarms");
  run.Claim("1 blame over NBD", tally.attributed == tally.injected,
            std::to_string(tally.attributed) + " of " + total + misattributed);
}

}  // namespace walnutspur::bench
