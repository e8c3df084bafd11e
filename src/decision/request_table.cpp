#include "decision/request_table.h"

namespace walnutspur::decision {

RequestRef RequestTable::Find(const RequestId& id) const {
  const auto found = requests_.find(id);
  return found != requests_.end() ? found->second : nullptr;
}

std::size_t RequestTable::CountAwaitingRetry() const {
  std::size_t count = 0;
  ForEach([&count](const RequestState& request) {
    const bool awaits_retry = request.attempts > 0 && request.target == nullptr && !request.finished;
    count += awaits_retry ? 1 : 0;
  });
  return count;
}

}  // namespace walnutspur::decision
