// Attributes a mismatch to the component at fault (a path, the target's memory or its storage) or to the
// operation at fault (a lost or misdirected write, a stale read). No I/O and no clock: the caller passes the
// time.
//
// A mismatch opens an investigation of its block. Each further reading of the block adds evidence until a
// fault can be attributed, which closes the investigation:
//
//   matches on another reading, previous content before    a stale read
//   matches on another path                                the path that did not match
//   matches on the same and only path                      memory
//   the same mismatch on every path, twice                 persistent, lost or misdirected, by its content
//   a different mismatch each time                         memory, or the path if others match
//
// Owned by checksummed::CorruptionTracker; used on its thread only.
#ifndef WALNUTSPUR_INTEGRITY_FAULT_ATTRIBUTION_H_
#define WALNUTSPUR_INTEGRITY_FAULT_ATTRIBUTION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "integrity/time.h"
#include "integrity/volume_io.h"

namespace walnutspur::integrity {

// The component or operation at fault. The order is that of the corruption log's file: new values are
// appended.
enum class Fault { kPath, kMemory, kAtRest, kLostWrite, kMisdirectedWrite, kStaleRead, kTags, kRecord };
// Number of enumerators of Fault.
constexpr int kFaultCount = 8;
// Returns the name that log events and the commands for the corruption log show.
const char* NameOf(Fault fault);

// The location of a block: target, export and block number.
struct BlockLocation {
  std::string target;
  std::string remote;  // the export's name at the target
  std::uint64_t block = 0;
  auto operator<=>(const BlockLocation&) const = default;
};

// One reading of a block; the members behind `good` describe a mismatch.
struct Reading {
  int path = 0;
  bool good = false;
  MismatchKind mismatch = MismatchKind::kUnrecognized;
  std::uint32_t data_sum = 0;
  std::uint64_t owner_block = 0;
};

struct FaultAttribution {
  Fault fault = Fault::kAtRest;
  int path = -1;                  // kPath: the path at fault
  std::uint64_t owner_block = 0;  // kMisdirectedWrite: the block whose content was read
  int readings = 0;               // number of readings on which it is based
};

class CorruptionInvestigations {
 public:
  // `max_open` bounds the open investigations; when it is exceeded, the oldest is closed without an
  // attribution.
  explicit CorruptionInvestigations(std::size_t max_open = 4096) : max_open_(max_open) {}

  // Adds a reading of a block on a target that has `paths` paths. A good reading of a block that is not under
  // investigation has no effect.
  std::optional<FaultAttribution> AddReading(const BlockLocation& location, int paths, const Reading& reading,
                                             Time now);
  // Closes the investigation of a block that was written: earlier readings are no longer evidence.
  void Forget(const BlockLocation& location) { open_.erase(location); }
  std::size_t open_count() const { return open_.size(); }
  bool IsOpen(const BlockLocation& location) const { return open_.contains(location); }
  // Returns the paths on which a block under investigation has been read. A reading on another path adds more
  // evidence.
  std::set<int> PathsOf(const BlockLocation& location) const;

 private:
  struct Investigation {
    std::vector<Reading> readings;
    Time opened = 0;
  };
  void CloseOldest();

  std::size_t max_open_;
  std::map<BlockLocation, Investigation> open_;
};

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_FAULT_ATTRIBUTION_H_
