// Endpoint poller: decides when the endpoint list is polled next, if the initiator must subscribe to it.
//
// At most one poll is in flight. A poll, or the first part of an update, schedules the next poll after the
// poll timeout. A response cancels that poll, since the subscription delivers all later changes. A failure
// schedules the next poll after a backoff. If updates are pushed, nothing is polled. Uses no I/O, clock or
// thread. Owned by the SchedulerState.
#ifndef WALNUTSPUR_DECISION_ENDPOINT_POLLER_H_
#define WALNUTSPUR_DECISION_ENDPOINT_POLLER_H_

#include "decision/random_source.h"
#include "limits/poll_backoff.h"
#include "walnutspur/settings.h"

namespace walnutspur::decision {

class EndpointPoller {
 public:
  explicit EndpointPoller(const Settings& settings);

  // Returns whether the initiator polls the endpoint list.
  bool is_enabled() const { return is_enabled_; }

  // Returns whether the next poll is due.
  bool IsDue(Time now) const { return next_poll_ >= 0 && now >= next_poll_; }

  // Handles a poll that is sent now, or the initiator's own call to another discovery service.
  void OnPolled(Time now);

  // Handles the arrival of the first part of an update.
  void OnUpdateStarted(Time now) { AwaitResponse(now); }

  // Handles a list or a change of it from discovery.
  void OnResponse();

  // Handles a failed poll or the end of its subscription. Draws the next delay from `random`.
  void OnFailed(Time now, DiscoveryFailure failure, RandomSource& random);

  // Sets the number of instances that share the discovery service.
  void SetInstanceCount(int instances) { backoff_.SetInstanceCount(instances); }

 private:
  void AwaitResponse(Time now);

  bool is_enabled_;
  Time next_poll_ = -1;  // -1: none due
  limits::PollBackoff backoff_;
};

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_ENDPOINT_POLLER_H_
