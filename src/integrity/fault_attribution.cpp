#include "integrity/fault_attribution.h"

#include <algorithm>

namespace walnutspur::integrity {
namespace {

using Readings = std::vector<Reading>;  // of one block, oldest first, never empty

// Readings after which the majority decides.
constexpr int kMaxReadings = 8;
// Equal mismatches that show persistent corruption.
constexpr int kMinEqualReadings = 2;
// Different mismatches that show faulty memory.
constexpr int kMinVaryingReadings = 3;

int CountOf(const Readings& readings) { return static_cast<int>(readings.size()); }

std::set<int> PathsOfReadings(const Readings& readings) {
  std::set<int> paths;
  for (const Reading& reading : readings) {
    paths.insert(reading.path);
  }
  return paths;
}

FaultAttribution Attribute(Fault fault, const Readings& readings) {
  FaultAttribution attribution;
  attribution.fault = fault;
  attribution.readings = CountOf(readings);
  return attribution;
}

// Attributes the fault if the last reading matches: the block is intact on storage, and the mismatches before
// it were transient.
FaultAttribution AttributeTransientFault(const Readings& readings, int paths) {
  const bool was_stale = std::all_of(readings.begin(), readings.end() - 1, [](const Reading& reading) {
    return reading.mismatch == MismatchKind::kPreviousContent;
  });
  if (was_stale) {
    FaultAttribution attribution = Attribute(Fault::kStaleRead, readings);
    attribution.path = readings.front().path;
    return attribution;
  }
  std::set<int> faulty_paths;
  for (const Reading& reading : readings) {
    if (!reading.good) {
      faulty_paths.insert(reading.path);
    }
  }
  // A path is found at fault only if it alone had mismatches and the target has other paths to compare with.
  if (faulty_paths.size() != 1 || paths <= 1) {
    return Attribute(Fault::kMemory, readings);
  }
  FaultAttribution attribution = Attribute(Fault::kPath, readings);
  attribution.path = *faulty_paths.begin();
  return attribution;
}

Fault PersistentFault(MismatchKind mismatch) {
  switch (mismatch) {
    case MismatchKind::kPreviousContent:
      return Fault::kLostWrite;
    case MismatchKind::kOtherBlock:
      return Fault::kMisdirectedWrite;
    case MismatchKind::kTagsUnreadable:
      return Fault::kTags;
    case MismatchKind::kUnrecognized:
    case MismatchKind::kRecordCorrupt:
      break;
  }
  return Fault::kAtRest;
}

// Attributes the fault if the last reading does not match; returns nullopt if more readings are needed.
std::optional<FaultAttribution> AttributePersistentFault(const Readings& readings, int paths) {
  const Reading& last = readings.back();
  const int count = CountOf(readings);
  const auto equal = std::count_if(readings.begin(), readings.end(), [&](const Reading& reading) {
    return reading.data_sum == last.data_sum && reading.mismatch == last.mismatch;
  });
  const bool on_every_path = static_cast<int>(PathsOfReadings(readings).size()) >= paths;
  if (equal >= kMinEqualReadings && equal == count && on_every_path) {
    FaultAttribution attribution = Attribute(PersistentFault(last.mismatch), readings);
    attribution.owner_block = last.owner_block;
    return attribution;
  }
  if (count >= kMaxReadings) {
    return Attribute(2 * equal > count ? Fault::kAtRest : Fault::kMemory, readings);
  }
  // Persistent corruption would give the same content on each reading.
  const bool varies = equal == 1 && count >= std::max(kMinVaryingReadings, paths + 1);
  if (varies && on_every_path) {
    return Attribute(Fault::kMemory, readings);
  }
  return std::nullopt;
}

// Returns the fault that the readings show, or nullopt if more readings are needed.
std::optional<FaultAttribution> AttributeFault(const Readings& readings, int paths) {
  if (readings.back().good) {
    return AttributeTransientFault(readings, paths);
  }
  // The replay of the journal has confirmed corrupt records already.
  if (readings.back().mismatch == MismatchKind::kRecordCorrupt) {
    return Attribute(Fault::kRecord, readings);
  }
  return AttributePersistentFault(readings, paths);
}

}  // namespace

const char* NameOf(Fault fault) {
  static constexpr const char* kNames[kFaultCount] = {"path",   "memory", "rest", "lost",
                                                      "astray", "stale",  "tags", "record"};
  return kNames[static_cast<int>(fault)];
}

std::optional<FaultAttribution> CorruptionInvestigations::AddReading(const BlockLocation& location, int paths,
                                                                     const Reading& reading, Time now) {
  auto found = open_.find(location);
  if (found == open_.end()) {
    if (reading.good) {
      return std::nullopt;
    }
    if (open_.size() >= max_open_) {
      CloseOldest();
    }
    found = open_.emplace(location, Investigation{{}, now}).first;
  }
  found->second.readings.push_back(reading);
  const auto attribution = AttributeFault(found->second.readings, paths);
  if (attribution) {
    open_.erase(found);
  }
  return attribution;
}

void CorruptionInvestigations::CloseOldest() {
  const auto oldest = std::min_element(open_.begin(), open_.end(), [](const auto& a, const auto& b) {
    return a.second.opened < b.second.opened;
  });
  open_.erase(oldest);
}

std::set<int> CorruptionInvestigations::PathsOf(const BlockLocation& location) const {
  const auto found = open_.find(location);
  return found == open_.end() ? std::set<int>() : PathsOfReadings(found->second.readings);
}

}  // namespace walnutspur::integrity
