// Fleet-wide latency: what the responses of all targets together say of queueing.
//
// One of many instances seldom uses a given target, so its own estimate of the target is old most of the
// time. Targets are congested together, so the fleet's mean stands in for it, and so does a concurrency limit
// that follows all responses. Owned by the SchedulerState, used on its thread.
#ifndef WALNUTSPUR_DECISION_FLEET_LATENCY_H_
#define WALNUTSPUR_DECISION_FLEET_LATENCY_H_

#include "limits/adaptive_limit.h"
#include "limits/decaying_counter.h"

namespace walnutspur::decision {

class FleetLatency {
 public:
  explicit FleetLatency(const limits::AdaptiveLimits& initial_limits) : limits_(initial_limits) {}

  // Counts a completed attempt at any target. For the mean, its queueing delay counts up to `max_queueing`.
  void OnCompleted(Duration queueing, Duration max_queueing, Time now);

  // Mean queueing delay of recent responses.
  Duration MeanQueueing(Time now) const;

  // Limits for each target whose own estimate is stale.
  limits::AdaptiveLimits& limits() { return limits_; }
  const limits::AdaptiveLimits& limits() const { return limits_; }

  // Samples since the last adjustment of the limits.
  limits::LatencySamples& samples() { return samples_; }

 private:
  limits::AdaptiveLimits limits_;
  limits::LatencySamples samples_;
  limits::DecayingCounter queueing_sum_;  // us
  limits::DecayingCounter responses_;     // terms of that sum
};

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_FLEET_LATENCY_H_
