// Class CorruptionLog records which blocks are corrupt, since when, and which component was at fault. Its
// inputs are the attributions of fault_attribution.h; corruption_log_file.h stores it. No I/O and no clock.
//
// Owned by checksummed::CorruptionTracker; used on its thread only.
#ifndef WALNUTSPUR_INTEGRITY_CORRUPTION_LOG_H_
#define WALNUTSPUR_INTEGRITY_CORRUPTION_LOG_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "integrity/fault_attribution.h"

namespace walnutspur::integrity {

struct CorruptionEntry {
  Fault fault = Fault::kAtRest;
  bool repaired = false;          // the block was written again since, or read without a mismatch
  std::int64_t first_seen = 0;    // microseconds of Unix time
  std::int64_t last_seen = 0;     // microseconds of Unix time
  std::uint32_t times = 0;        // number of attributions
  int path = -1;                  // kPath: the path at fault
  std::uint64_t owner_block = 0;  // kMisdirectedWrite: the block whose content was read
  bool operator==(const CorruptionEntry&) const = default;
};

class CorruptionLog {
 public:
  // `max_entries` bounds the log. When it is exceeded, repaired entries are dropped first, then those seen
  // least recently.
  explicit CorruptionLog(std::size_t max_entries = 65536) : max_entries_(max_entries) {}

  // Adds an attribution. A misdirected write affects two blocks: the one that contains another block's
  // content, and that other block, whose write looks lost. Once both are logged, both entries are
  // kMisdirectedWrite.
  void Record(const BlockLocation& location, const FaultAttribution& attribution, std::int64_t now);
  // Marks a block as repaired: it was read without a mismatch, or written again.
  void MarkRepaired(const BlockLocation& location, std::int64_t now);

  const CorruptionEntry* Find(const BlockLocation& location) const;
  // Returns whether the block is known to be corrupt on storage and has not been repaired since.
  bool IsCorrupt(const BlockLocation& location) const;
  const std::map<BlockLocation, CorruptionEntry>& entries() const { return entries_; }
  std::size_t corrupt_count() const;                  // entries that are not repaired
  std::uint64_t dropped() const { return dropped_; }  // entries that exceeded the bound
  bool changed() const { return changed_; }           // since the last Encode

  // Returns the log in its stored format, versioned and checksummed.
  std::string Encode();
  // Replaces the log by the one that Encode returned as `bytes`. Returns false, sets `*error` to a one-line
  // message and changes nothing if the bytes are truncated, corrupt or of a newer version.
  bool Decode(std::string_view bytes, std::string* error);

 private:
  void EvictIfFull();
  void LinkMisdirectedWrite(const BlockLocation& location, const FaultAttribution& attribution);
  void LinkLostWrite(const BlockLocation& location);

  std::size_t max_entries_;
  std::map<BlockLocation, CorruptionEntry> entries_;
  std::uint64_t dropped_ = 0;
  bool changed_ = false;
};

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_CORRUPTION_LOG_H_
