// Request table: the requests that have no final response yet or still have an attempt in flight.
//
// Owned by the SchedulerState, used on the scheduler thread.
#ifndef WALNUTSPUR_DECISION_REQUEST_TABLE_H_
#define WALNUTSPUR_DECISION_REQUEST_TABLE_H_

#include <cstddef>
#include <unordered_map>

#include "decision/request.h"

namespace walnutspur::decision {

class RequestTable {
 public:
  // Adds a request; one with the same id is replaced.
  void Add(const RequestRef& request) { requests_[request->id] = request; }

  // Returns the request with this id, or null.
  RequestRef Find(const RequestId& id) const;

  void Remove(const RequestId& id) { requests_.erase(id); }

  // Returns the number of requests that have been attempted and wait for a retry.
  std::size_t CountAwaitingRetry() const;

  // Calls `visit` with each request, in no particular order.
  template <typename Visitor>
  void ForEach(Visitor visit) const {
    for (const auto& [id, request] : requests_) {
      visit(*request);
    }
  }

  std::size_t size() const { return requests_.size(); }

 private:
  std::unordered_map<RequestId, RequestRef> requests_;
};

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_REQUEST_TABLE_H_
