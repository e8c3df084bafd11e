#include "decision/key_order.h"

#include <algorithm>

namespace walnutspur::decision {

void KeyQueue::RemoveFinished() {
  while (!requests.empty() && requests.front()->finished && requests.front()->target == nullptr) {
    requests.pop_front();
  }
}

void KeyOrder::Add(const RequestRef& request) { chains_[request->key].requests.push_back(request); }

bool KeyOrder::IsFree(const RequestState& request, Time now) {
  KeyQueue& chain = chains_[request.key];
  chain.RemoveFinished();
  const bool is_first = !chain.requests.empty() && chain.requests.front().get() == &request;
  return is_first && (request.attempts > 0 || now >= chain.quarantined_until);
}

void KeyOrder::OnAttemptEnded(const RequestState& request, Outcome outcome, std::optional<Time> quarantine,
                              Time now) {
  // A connection reset leaves open whether the target runs on. Here the careful answer is that it does; a
  // target's capacity (in_flight.cpp) is rather taken as free.
  const bool may_take_effect_later =
      outcome == Outcome::kTimedOut || outcome == Outcome::kConnectionReset || outcome == Outcome::kCancelled;
  if (may_take_effect_later && quarantine) {
    Time& until = chains_[request.key].quarantined_until;
    until = std::max(until, now + *quarantine);
  }
}

void KeyOrder::EvictFree(Time now) {
  for (auto& [key, chain] : chains_) {
    chain.RemoveFinished();
  }
  std::erase_if(chains_, [now](const auto& entry) {
    return entry.second.requests.empty() && entry.second.quarantined_until <= now;
  });
}

}  // namespace walnutspur::decision
