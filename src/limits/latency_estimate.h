// Estimates the latency of one target from the latencies of its completed attempts.
//
// Splits a latency into the service time, which is assumed to be proportional to the request's units, and the
// queueing delay, which is the remainder. No I/O, clock or thread; owned by the scheduler's record of the
// target.
#ifndef WALNUTSPUR_LIMITS_LATENCY_ESTIMATE_H_
#define WALNUTSPUR_LIMITS_LATENCY_ESTIMATE_H_

#include "limits/duration.h"

namespace walnutspur::limits {

// Service time of a unit that is assumed until the first response.
constexpr Duration kInitialUnitTime = std::chrono::milliseconds(20);
// Time constant of the estimate's decay: without new samples, the estimated queueing delay falls to 1/e in
// this time, because the target's queue is assumed to drain.
constexpr Duration kQueueingDecay = std::chrono::milliseconds(500);

// Class LatencyEstimate holds the service time and the queueing delay of one target.
class LatencyEstimate {
 public:
  // Returns the uncongested service time of a unit.
  Duration unit_time() const { return unit_time_; }

  // Returns the queueing delay as of the last sample.
  Duration queueing() const { return queueing_; }

  // Returns the uncongested service time of a request of `units`.
  Duration ServiceTime(double units) const { return units * unit_time_; }

  // Records a latency sample (us) and returns its queueing delay.
  Duration Record(Time latency, double units, Time now);

  // Replaces the queueing delay by a value that does not come from a latency sample.
  void SetQueueing(Duration queueing, Time now);

  // Sets the queueing delay to zero; called when the target's process has been replaced.
  void ResetQueueing() { queueing_ = Duration::zero(); }

  // Returns the queueing delay expected at `now`: the larger of the exponentially decayed delay and the last
  // delay less the time elapsed since.
  Duration ExpectedQueueing(Time now) const;

  // Returns the time elapsed since the last sample.
  Duration SampleAge(Time now) const { return Elapsed(sampled_at_, now); }

  // Returns whether the last sample is too old for the estimate to be reliable.
  bool IsStale(Time now) const { return SampleAge(now) > kQueueingDecay; }

 private:
  Duration unit_time_ = kInitialUnitTime;
  Duration queueing_ = Duration::zero();
  Time sampled_at_ = 0;
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_LATENCY_ESTIMATE_H_
