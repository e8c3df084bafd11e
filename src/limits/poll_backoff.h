// Backoff of one instance that polls an endpoint list shared with other instances.
//
// A call that was refused at once cost the service nothing. One that timed out in the service's queue shows
// that all instances together poll too fast, and is handled all the same: they must spread over as long as
// that takes. A call that had a response is a success, however soon its subscription broke: what changes
// after that counts as announced within 6 s, of which detection takes up to 2.5 s and the next call up to 2 s
// (http/discovery_client.cpp). No I/O, clock, thread or randomness; owned by decision::EndpointPoller.
#ifndef WALNUTSPUR_LIMITS_POLL_BACKOFF_H_
#define WALNUTSPUR_LIMITS_POLL_BACKOFF_H_

#include "limits/jittered_backoff.h"
#include "walnutspur/types.h"

namespace walnutspur::limits {

class PollBackoff {
 public:
  // `instances` share the service; `max_delay` is the longest delay of any number of them, us.
  PollBackoff(int instances, Time max_delay);

  // Adapts the bounds to the number of instances. Few may poll so often that each has the list well within
  // the 6 s after which a change counts as announced, whatever became of former calls; of many, that would
  // only fill the service's queue, and none would have a response.
  void SetInstanceCount(int instances);

  // Records that a call was made at `now`.
  void OnPoll(Time now) { polled_at_ = now; }

  // Delay until the next poll, us, after a call that failed or a subscription that ended.
  Time NextDelay(Time now, double random);

  // Delay until the next poll, us, after one that found no listener: it costs no service anything, and a
  // short one shows soon that the service is back.
  static Time UnreachableDelay(double random);

  // Records a response.
  void OnResponse();

 private:
  Time max_delay_;
  Time polled_at_ = -1;  // of the call that has had no response yet; -1: none
  JitteredBackoff rejected_;
  JitteredBackoff timed_out_;
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_POLL_BACKOFF_H_
