#include "fleet/membership/timer_queue.h"

#include <utility>

namespace walnutspur::fleet {

std::uint64_t TimerQueue::Start(Time delay, Callback callback) {
  const std::uint64_t id = next_id_++;
  pending_[id] = {now_ + delay, std::move(callback)};
  actions_.emplace_back(StartTimer{id, delay});
  return id;
}

std::optional<TimerQueue::Expired> TimerQueue::Take(std::uint64_t id) {
  const auto at = pending_.find(id);
  if (at == pending_.end()) {
    return std::nullopt;
  }
  Pending pending = std::move(at->second);
  pending_.erase(at);
  return Expired{now_ - pending.deadline, std::move(pending.callback)};
}

}  // namespace walnutspur::fleet
