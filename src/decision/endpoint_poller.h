// Endpoint poller: when the endpoint list is polled next, where the initiator has to subscribe to it.
//
// One poll is out at a time: a poll, or the first part of an update, puts the next one off until it has had
// time for its response; a response cancels it, since the subscription brings what follows; a failure starts
// a backoff. Where updates come by themselves nothing is ever polled. No I/O, clock or thread; owned by the
// SchedulerState.
#ifndef WALNUTSPUR_DECISION_ENDPOINT_POLLER_H_
#define WALNUTSPUR_DECISION_ENDPOINT_POLLER_H_

#include "decision/random_source.h"
#include "limits/poll_backoff.h"
#include "walnutspur/settings.h"

namespace walnutspur::decision {

class EndpointPoller {
 public:
  explicit EndpointPoller(const Settings& settings);

  // Whether the initiator polls at all.
  bool is_enabled() const { return is_enabled_; }

  // Whether the next poll is due.
  bool IsDue(Time now) const { return next_poll_ >= 0 && now >= next_poll_; }

  // A poll is sent, or the initiator has called another discovery service by itself.
  void OnPolled(Time now);

  // The first part of an update has arrived.
  void OnUpdateStarted(Time now) { AwaitResponse(now); }

  // Discovery has sent a list or a change of it.
  void OnResponse();

  // The poll has failed, or its subscription has ended. Draws the next delay from `random`.
  void OnFailed(Time now, DiscoveryFailure failure, RandomSource& random);

  // The number of instances that share the discovery service has changed.
  void SetInstanceCount(int instances) { backoff_.SetInstanceCount(instances); }

 private:
  void AwaitResponse(Time now);

  bool is_enabled_;
  Time next_poll_ = -1;  // -1: none due
  limits::PollBackoff backoff_;
};

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_ENDPOINT_POLLER_H_
