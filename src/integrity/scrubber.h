// Class Scrubber determines the order in which a scrub reads one export: blocks suspected of corruption
// first, then all chunks of the export in order, in repeated rounds. No I/O and no clock; background/budget.h
// decides when it may read.
//
// Owned by checksummed::Scrub; used on its thread only.
#ifndef WALNUTSPUR_INTEGRITY_SCRUBBER_H_
#define WALNUTSPUR_INTEGRITY_SCRUBBER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <set>

namespace walnutspur::integrity {

class Scrubber {
 public:
  // A range of adjoining blocks that are read together.
  struct Range {
    std::uint64_t first = 0;
    std::uint64_t count = 0;
    bool recheck = false;  // of a single block suspected of corruption
    auto operator<=>(const Range&) const = default;
  };

  // Reads `chunk` blocks at a time, from chunk `position` on.
  Scrubber(std::uint64_t blocks, std::uint64_t chunk, std::uint64_t position = 0);

  // Returns the next range, or nullopt while all remaining chunks of the round are in flight.
  std::optional<Range> Next();
  // Handles a range that was read, with or without a mismatch. Returns the number of chunks of the round that
  // this completes: 0 or 1.
  int OnRead(const Range& range);
  // Handles a range that could not be read, which is retried ahead of the others.
  void OnReadFailed(const Range& range);
  // Schedules another read of a block that did not match and to which no fault has been attributed yet.
  void Recheck(std::uint64_t block);

  // Returns the number of chunks of a round.
  std::uint64_t total() const { return chunks_; }
  // Returns the chunk from which a later process must continue so that no chunk is skipped.
  std::uint64_t position() const;

 private:
  Range Chunk(std::uint64_t number) const;

  std::uint64_t blocks_;
  std::uint64_t chunk_;                 // blocks of one chunk; the last one may have fewer
  std::uint64_t chunks_;                // of the export
  std::uint64_t next_ = 0;              // chunk
  std::set<std::uint64_t> in_flight_;   // chunks
  std::deque<std::uint64_t> retries_;   // chunks that could not be read
  std::deque<std::uint64_t> rechecks_;  // blocks
  std::set<std::uint64_t> rechecking_;  // queued or in flight
};

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_SCRUBBER_H_
