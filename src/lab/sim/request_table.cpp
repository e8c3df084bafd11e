#include "lab/sim/request_table.h"

#include <algorithm>
#include <utility>

namespace walnutspur::lab::sim {

RequestState& RequestTable::Add(std::int64_t number, RequestState request) {
  return requests_[number] = std::move(request);
}

RequestState* RequestTable::Find(std::int64_t number) {
  const auto at = requests_.find(number);
  return at == requests_.end() ? nullptr : &at->second;
}

bool RequestTable::IsAwaitingResponse(std::int64_t number) const {
  const auto at = requests_.find(number);
  return at != requests_.end() && !at->second.has_response;
}

void RequestTable::EraseIfFinished(std::int64_t number) {
  const auto at = requests_.find(number);
  if (at == requests_.end() || !at->second.has_response) {
    return;
  }
  const std::vector<AttemptState>& attempts = at->second.attempts;
  const bool all_ended = std::all_of(attempts.begin(), attempts.end(),
                                     [](const AttemptState& attempt) { return attempt.ended; });
  if (all_ended) {
    requests_.erase(at);
  }
}

}  // namespace walnutspur::lab::sim
