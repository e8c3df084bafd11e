// Computes the delays between the polls of one instance, which shares an endpoint list service with other
// instances.
//
// A call that was rejected at once cost the service nothing. A call that timed out in the service's queue
// shows that all instances together poll too fast. The service handles such a call all the same, so the
// instances must spread their polls over the time that handling all of them takes. A call that had a response
// counts as a success, however soon its subscription ended: a change after the end counts as announced within
// 6 s, of which detecting the end takes up to 2.5 s and the next call up to 2 s (http/discovery_client.cpp).
// No I/O, clock, thread or randomness; owned by decision::EndpointPoller.
#ifndef WALNUTSPUR_LIMITS_POLL_BACKOFF_H_
#define WALNUTSPUR_LIMITS_POLL_BACKOFF_H_

#include "limits/jittered_backoff.h"
#include "walnutspur/types.h"

namespace walnutspur::limits {

class PollBackoff {
 public:
  // `instances` is the number of instances that share the service; `max_delay` bounds the delay however many
  // they are, us.
  PollBackoff(int instances, Time max_delay);

  // Adapts the bounds to the number of instances. A few instances may poll so often that each receives the
  // list well within the 6 s after which a change counts as announced, whether or not earlier calls failed.
  // If many instances polled as often, they would only fill the service's queue and none would get a
  // response.
  void SetInstanceCount(int instances);

  // Records that a call was made at `now`.
  void OnPoll(Time now) { polled_at_ = now; }

  // Returns the delay until the next poll (us) after a call failed or a subscription ended.
  Time NextDelay(Time now, double random);

  // Returns the delay until the next poll (us) after a call found no listener. The delay is short: such a
  // call costs the service nothing, and frequent polls detect the service's return early.
  static Time UnreachableDelay(double random);

  // Records a response.
  void OnResponse();

 private:
  Time max_delay_;
  Time polled_at_ = -1;  // start of the call that awaits its response; -1: none
  JitteredBackoff rejected_;
  JitteredBackoff timed_out_;
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_POLL_BACKOFF_H_
