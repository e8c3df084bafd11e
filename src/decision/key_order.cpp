#include "decision/key_order.h"

#include <algorithm>

namespace walnutspur::decision {

void KeyQueue::RemoveFinished() {
  while (!requests.empty() && requests.front()->finished && requests.front()->target == nullptr) {
    requests.pop_front();
  }
}

void KeyOrder::Add(const RequestRef& request) { queues_[request->key].requests.push_back(request); }

bool KeyOrder::MaySend(const RequestState& request, Time now) {
  KeyQueue& queue = queues_[request.key];
  queue.RemoveFinished();
  const bool is_first = !queue.requests.empty() && queue.requests.front().get() == &request;
  return is_first && (request.attempts > 0 || now >= queue.quarantined_until);
}

void KeyOrder::OnAttemptEnded(const RequestState& request, Outcome outcome, std::optional<Time> quarantine,
                              Time now) {
  // After a connection reset it is unknown whether the target is still running the attempt. For key order the
  // safe assumption is that it is; for the target's capacity (in_flight.cpp) it is assumed to have stopped.
  const bool may_take_effect_later =
      outcome == Outcome::kTimedOut || outcome == Outcome::kConnectionReset || outcome == Outcome::kCancelled;
  if (may_take_effect_later && quarantine) {
    Time& until = queues_[request.key].quarantined_until;
    until = std::max(until, now + *quarantine);
  }
}

void KeyOrder::EvictUnused(Time now) {
  for (auto& [key, queue] : queues_) {
    queue.RemoveFinished();
  }
  std::erase_if(queues_, [now](const auto& entry) {
    return entry.second.requests.empty() && entry.second.quarantined_until <= now;
  });
}

}  // namespace walnutspur::decision
