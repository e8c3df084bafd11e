#include "integrity/block_locks.h"

namespace walnutspur::integrity {

bool BlockLocks::MustWait(CommandId command, const BlockRange& range) const {
  const auto locked = owners_.lower_bound(range.first);
  if (locked != owners_.end() && locked->first < range.end()) {
    return true;
  }
  for (const Waiter& waiter : waiters_) {
    if (waiter.command == command) {
      return false;
    }
    if (waiter.range.Overlaps(range)) {
      return true;
    }
  }
  return false;
}

void BlockLocks::Acquire(CommandId command, const BlockRange& range) {
  for (std::uint64_t block = range.first; block < range.end(); ++block) {
    owners_[block] = command;
  }
}

void BlockLocks::Release(CommandId command, const BlockRange& range) {
  for (std::uint64_t block = range.first; block < range.end(); ++block) {
    const auto owner = owners_.find(block);
    if (owner != owners_.end() && owner->second == command) {
      owners_.erase(owner);
    }
  }
}

void BlockLocks::RemoveWaiter(CommandId command) {
  std::erase_if(waiters_, [&](const Waiter& waiter) { return waiter.command == command; });
}

std::optional<CommandId> BlockLocks::TakeReadyWaiter() {
  for (const Waiter& waiter : waiters_) {
    if (MustWait(waiter.command, waiter.range)) {
      continue;
    }
    const CommandId ready = waiter.command;
    RemoveWaiter(ready);
    return ready;
  }
  return std::nullopt;
}

}  // namespace walnutspur::integrity
