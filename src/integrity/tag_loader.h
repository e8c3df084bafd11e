// Class TagLoader reads tag blocks and tracks the waiters of each read in flight: one read serves all
// waiters. A waiter is a command, or kVolumeCommand for the checkpoint.
//
// Owned by VolumeContext; used on the thread of the volume's owner.
#ifndef WALNUTSPUR_INTEGRITY_TAG_LOADER_H_
#define WALNUTSPUR_INTEGRITY_TAG_LOADER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

#include "integrity/io_queue.h"
#include "integrity/layout.h"

namespace walnutspur::integrity {

// The result of a read of a tag block.
enum class TagReadStatus {
  kLoaded,
  kUncertain,  // a slot may have been corrupted in transit
  kFailed      // the target did not execute the read
};

class TagLoader {
 public:
  TagLoader(const Superblock* superblock, IoQueue* io_queue) : superblock_(superblock), io_queue_(io_queue) {}

  // Reads both slots of the tag block unless a read is in flight already.
  void Load(std::uint64_t index, CommandId waiter);
  // Ends the read of a tag block and returns its waiters, in the order of their ids.
  std::set<CommandId> TakeWaiters(std::uint64_t index);
  void RemoveWaiter(CommandId waiter);
  bool IsWaiting(std::uint64_t index, CommandId waiter) const;
  std::size_t reads() const { return waiters_.size(); }

 private:
  const Superblock* superblock_;
  IoQueue* io_queue_;
  std::map<std::uint64_t, std::set<CommandId>> waiters_;  // by index of the tag block
};

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_TAG_LOADER_H_
