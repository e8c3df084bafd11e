// Latency estimate of one target, from the latencies of its completed attempts.
//
// Splits a latency into the service time, taken as proportional to the request's units, and the queueing
// delay above it. No I/O, clock or thread; owned by the scheduler's record of the target.
#ifndef WALNUTSPUR_LIMITS_LATENCY_ESTIMATE_H_
#define WALNUTSPUR_LIMITS_LATENCY_ESTIMATE_H_

#include "limits/duration.h"

namespace walnutspur::limits {

// Service time of a unit assumed until the first response.
constexpr Duration kInitialUnitTime = std::chrono::milliseconds(20);
// Time in which a queueing delay without new samples decays to 1/e: queues drain.
constexpr Duration kQueueingDecay = std::chrono::milliseconds(500);

// Service time and queueing delay of one target.
class LatencyEstimate {
 public:
  // Uncongested service time of a unit.
  Duration unit_time() const { return unit_time_; }

  // Queueing delay as of the last sample.
  Duration queueing() const { return queueing_; }

  // Uncongested service time of a request of `units`.
  Duration ServiceTime(double units) const { return units * unit_time_; }

  // Records a sample of `latency` (us); returns its queueing delay.
  Duration Record(Time latency, double units, Time now);

  // Replaces the queueing delay by one known otherwise than from a latency.
  void SetQueueing(Duration queueing, Time now);

  // Discards the queueing delay: the process behind the target is a new one.
  void ResetQueueing() { queueing_ = Duration::zero(); }

  // Queueing delay expected at `now`. It falls at least as fast as time passes and as fast as it decays.
  Duration ExpectedQueueing(Time now) const;

  // Time since the last sample.
  Duration SampleAge(Time now) const { return Elapsed(sampled_at_, now); }

  // Whether the last sample is too old for the estimate to be relied on.
  bool IsStale(Time now) const { return SampleAge(now) > kQueueingDecay; }

 private:
  Duration unit_time_ = kInitialUnitTime;
  Duration queueing_ = Duration::zero();
  Time sampled_at_ = 0;
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_LATENCY_ESTIMATE_H_
