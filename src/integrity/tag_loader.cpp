#include "integrity/tag_loader.h"

#include <iterator>
#include <utility>

namespace walnutspur::integrity {

void TagLoader::Load(std::uint64_t index, CommandId waiter) {
  const bool is_in_flight = waiters_.contains(index);
  waiters_[index].insert(waiter);
  if (!is_in_flight) {
    io_queue_->IssueRead(IoPurpose::kTags, waiter, superblock_->geometry.SlotOffset(index, 0),
                         static_cast<std::uint32_t>(kTagSlotsBytes));
  }
}

std::set<CommandId> TagLoader::TakeWaiters(std::uint64_t index) {
  const auto found = waiters_.find(index);
  if (found == waiters_.end()) {
    return {};
  }
  std::set<CommandId> taken = std::move(found->second);
  waiters_.erase(found);
  return taken;
}

void TagLoader::RemoveWaiter(CommandId waiter) {
  for (auto at = waiters_.begin(); at != waiters_.end();) {
    at->second.erase(waiter);
    at = at->second.empty() ? waiters_.erase(at) : std::next(at);
  }
}

bool TagLoader::IsWaiting(std::uint64_t index, CommandId waiter) const {
  const auto found = waiters_.find(index);
  return found != waiters_.end() && found->second.contains(waiter);
}

}  // namespace walnutspur::integrity
