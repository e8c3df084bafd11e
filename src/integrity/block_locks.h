// Class BlockLocks locks the blocks that writes and trims are changing, and queues the commands that wait for
// these locks in order of arrival. It reports no errors: a lock is either acquired or waited for.
//
// Owned by CommandExecutor; used on the thread of the volume's owner.
#ifndef WALNUTSPUR_INTEGRITY_BLOCK_LOCKS_H_
#define WALNUTSPUR_INTEGRITY_BLOCK_LOCKS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "integrity/volume_io.h"

namespace walnutspur::integrity {

// A range of adjoining blocks.
struct BlockRange {
  std::uint64_t first = 0;
  std::uint64_t count = 0;

  std::uint64_t end() const { return first + count; }
  bool Overlaps(const BlockRange& other) const { return first < other.end() && other.first < end(); }
};

class BlockLocks {
 public:
  // Returns whether a command must wait, either for a lock or for an earlier waiter whose range overlaps.
  bool MustWait(CommandId command, const BlockRange& range) const;
  void Acquire(CommandId command, const BlockRange& range);
  void Release(CommandId command, const BlockRange& range);

  void AddWaiter(CommandId command, const BlockRange& range) { waiters_.push_back({command, range}); }
  void RemoveWaiter(CommandId command);
  // Removes and returns the first waiter that no longer has to wait; returns nullopt if every waiter does.
  std::optional<CommandId> TakeReadyWaiter();

  std::size_t locked_blocks() const { return owners_.size(); }
  std::size_t waiters() const { return waiters_.size(); }

 private:
  struct Waiter {
    CommandId command = 0;
    BlockRange range;
  };

  std::map<std::uint64_t, CommandId> owners_;  // by block
  std::deque<Waiter> waiters_;
};

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_BLOCK_LOCKS_H_
