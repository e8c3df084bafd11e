// Key order: sends requests with the same key one at a time, in classes ordered by key.
//
// If an attempt has ended for the initiator but may still be running at its target, the key is put in
// quarantine, so that no later request takes effect before it. Owned by the SchedulerState, used on the
// scheduler thread.
#ifndef WALNUTSPUR_DECISION_KEY_ORDER_H_
#define WALNUTSPUR_DECISION_KEY_ORDER_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "decision/request.h"

namespace walnutspur::decision {

// The requests with one key, in order of arrival, and the quarantine of the key.
struct KeyQueue {
  std::deque<RequestRef> requests;
  Time quarantined_until = 0;

  // Removes from the front the requests that have their final response and no attempt in flight.
  void RemoveFinished();
};

// The queues of all keys. Contains requests of ordered classes only (SchedulerState::IsOrdered).
class KeyOrder {
 public:
  // Adds a request that has arrived to the end of its key's queue.
  void Add(const RequestRef& request);

  // Returns whether a request may be sent at `now`: it must be the first of its key, and the key must not be
  // in quarantine unless the request is a retry.
  bool MaySend(const RequestState& request, Time now);

  // Handles the end of an attempt at `now`: starts or extends the key's quarantine if the attempt may still
  // be running. `quarantine` is its duration, us; nullopt if the settings define none.
  void OnAttemptEnded(const RequestState& request, Outcome outcome, std::optional<Time> quarantine, Time now);

  // Removes the keys that no request has and that are not in quarantine at `now`.
  void EvictUnused(Time now);

  std::size_t size() const { return queues_.size(); }
  bool Contains(const std::string& key) const { return queues_.contains(key); }

 private:
  std::map<std::string, KeyQueue> queues_;
};

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_KEY_ORDER_H_
