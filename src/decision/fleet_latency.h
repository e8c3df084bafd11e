// Fleet-wide latency: estimates of queueing delay and concurrency limits from the responses of all targets.
//
// With many instances, each one seldom uses a given target, so its own estimate of the target is stale most
// of the time. Targets tend to be congested at the same time, so the fleet's mean queueing delay, and a
// concurrency limit adapted to all responses, are used in place of a stale estimate. Owned by the
// SchedulerState, used on the scheduler thread.
#ifndef WALNUTSPUR_DECISION_FLEET_LATENCY_H_
#define WALNUTSPUR_DECISION_FLEET_LATENCY_H_

#include "limits/adaptive_limit.h"
#include "limits/decaying_counter.h"

namespace walnutspur::decision {

class FleetLatency {
 public:
  explicit FleetLatency(const limits::AdaptiveLimits& initial_limits) : limits_(initial_limits) {}

  // Records a completed attempt at any target. In the mean, its queueing delay is capped at `max_queueing`.
  void OnCompleted(Duration queueing, Duration max_queueing, Time now);

  // Returns the mean queueing delay of recent responses.
  Duration MeanQueueing(Time now) const;

  // Returns the limits that apply to each target whose own estimate is stale.
  limits::AdaptiveLimits& limits() { return limits_; }
  const limits::AdaptiveLimits& limits() const { return limits_; }

  // Returns the samples since the last adjustment of the limits.
  limits::LatencySamples& samples() { return samples_; }

 private:
  limits::AdaptiveLimits limits_;
  limits::LatencySamples samples_;
  limits::DecayingCounter queueing_sum_;  // us
  limits::DecayingCounter responses_;     // number of terms of queueing_sum_
};

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_FLEET_LATENCY_H_
