// What a scrub reads next: blocks that are under suspicion first, then all of the export in order, round
// after round. No I/O and no clock; when it may read is background/budget.h's to say.
#ifndef WALNUTSPUR_INTEGRITY_SCRUBBER_H_
#define WALNUTSPUR_INTEGRITY_SCRUBBER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <set>

namespace walnutspur::integrity {

class Scrubber {
 public:
  struct Range {
    std::uint64_t first = 0, count = 0;  // blocks
    bool recheck = false;                // of a single block under suspicion
    auto operator<=>(const Range&) const = default;
  };

  // Reads `chunk` blocks at a time, from chunk `position` on.
  Scrubber(std::uint64_t blocks, std::uint64_t chunk, std::uint64_t position = 0);

  // The next range; nothing while all that is left of the round is under way.
  std::optional<Range> Next();
  // It was read, whatever was found. How many chunks of the round are done by that: 0 or 1.
  int Done(const Range& range);
  // It could not be read: it goes again, ahead of the rest.
  void Failed(const Range& range);
  // A block that must be read again soon: a mismatch has been met on it and no verdict has fallen.
  void Recheck(std::uint64_t block);

  std::uint64_t total() const { return chunks_; }
  // The chunk from which a later start must go on so that none is left out.
  std::uint64_t position() const;
  std::uint64_t rounds() const { return rounds_; }
  std::size_t waiting() const { return rechecks_.size() + again_.size(); }

 private:
  Range Chunk(std::uint64_t number) const;

  std::uint64_t blocks_, chunk_, chunks_;
  std::uint64_t next_ = 0;
  std::uint64_t rounds_ = 0;
  std::set<std::uint64_t> under_way_;  // chunks
  std::deque<std::uint64_t> again_;    // chunks that could not be read
  std::deque<std::uint64_t> rechecks_;
  std::set<std::uint64_t> rechecking_;  // in the queue or under way
};

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_SCRUBBER_H_
