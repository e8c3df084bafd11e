// Key order: of the requests that carry one key, in classes that call for it, one is sent at a time.
//
// Where an attempt may still be running although it has ended here, the key is in quarantine: a new request
// must not overtake what may yet take effect. Owned by the SchedulerState, used on its thread.
#ifndef WALNUTSPUR_DECISION_KEY_ORDER_H_
#define WALNUTSPUR_DECISION_KEY_ORDER_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "decision/request.h"

namespace walnutspur::decision {

// Requests that carry one key, in order of arrival, and the quarantine of the key.
struct KeyQueue {
  std::deque<RequestRef> requests;
  Time quarantined_until = 0;

  // Removes requests that have their response and no attempt in flight from the front.
  void RemoveFinished();
};

// The chains of all keys. Takes requests of ordered classes only (SchedulerState::IsOrdered).
class KeyOrder {
 public:
  // Adds a request that has arrived to the end of its key's chain.
  void Add(const RequestRef& request);

  // Whether a request may be sent at `now`: it is the first of its key, and a first attempt is past the key's
  // quarantine.
  bool IsFree(const RequestState& request, Time now);

  // After an attempt at `now` with this outcome: starts the key's quarantine (us; none if the settings state
  // none) if the attempt may still be running.
  void OnAttemptEnded(const RequestState& request, Outcome outcome, std::optional<Time> quarantine, Time now);

  // Removes the keys that no request carries and that are in no quarantine at `now`.
  void EvictFree(Time now);

  std::size_t size() const { return chains_.size(); }

 private:
  std::map<std::string, KeyQueue> chains_;
};

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_KEY_ORDER_H_
