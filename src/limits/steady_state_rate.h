// Steady-state rate: at which rate a target serves this instance while it is healthy.
//
// It outlives restarts of the target: slow start takes it for this instance's part of the target's work.
// While attempts end without a response the demand is unknown, so the rate as of then holds. No I/O, clock or
// thread; the record of each target owns one.
#ifndef WALNUTSPUR_LIMITS_STEADY_STATE_RATE_H_
#define WALNUTSPUR_LIMITS_STEADY_STATE_RATE_H_

#include "limits/decaying_counter.h"

namespace walnutspur::limits {

class SteadyStateRate {
 public:
  // Records `units` served at `now`, and ends a suspension.
  void Record(double units, Time now);

  // Suspends the count when an attempt ends without a response, until the next one is served.
  void Suspend(Time now);

  // Units a second at `now`, of an instance that has counted since `started_at`.
  double Rate(Time now, Time started_at) const;

 private:
  DecayingCounter served_units_;
  Time suspended_at_ = -1;  // -1: not suspended
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_STEADY_STATE_RATE_H_
