// Latency estimate of one target, from the latencies of its completed attempts.
//
// Splits a latency into the service time, taken as proportional to the request's units, and the queueing
// delay above it. No I/O, clock or thread; owned by the scheduler's record of the target.
#ifndef WALNUTSPUR_LIMITS_LATENCY_ESTIMATE_H_
#define WALNUTSPUR_LIMITS_LATENCY_ESTIMATE_H_

#include "walnutspur/scheduler.h"

namespace walnutspur::limits {

// Service time assumed until the first response, us a unit.
constexpr double kInitialUnitTime = 20'000;
// Time in which a queueing delay without new samples decays to 1/e, us: queues drain.
constexpr double kQueueingDecay = 500'000;

// Service time and queueing delay of one target.
class LatencyEstimate {
 public:
  // Uncongested service time, us a unit.
  double unit_time() const { return unit_time_; }

  // Queueing delay as of the last sample, us.
  double queueing() const { return queueing_; }

  // Uncongested service time of a request of `units`, us.
  double ServiceTime(double units) const { return units * unit_time_; }

  // Records a sample; returns its queueing delay, us.
  double Record(Time latency, double units, Time now);

  // Replaces the queueing delay (us) by one known otherwise than from a latency.
  void SetQueueing(double queueing, Time now);

  // Discards the queueing delay: the process behind the target is a new one.
  void ResetQueueing() { queueing_ = 0; }

  // Queueing delay expected at `now`, us. It falls at least as fast as time passes and as fast as it decays.
  double ExpectedQueueing(Time now) const;

  // Time since the last sample, us.
  double Age(Time now) const { return static_cast<double>(now - sampled_at_); }

  // Whether the last sample is too old for the estimate to be relied on.
  bool IsStale(Time now) const { return Age(now) > kQueueingDecay; }

 private:
  double unit_time_ = kInitialUnitTime;
  double queueing_ = 0;  // us
  Time sampled_at_ = 0;
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_LATENCY_ESTIMATE_H_
