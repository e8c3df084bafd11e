// Measures the rate at which a target serves this instance while the target is healthy.
//
// The rate is kept across restarts of the target: slow start uses it as this instance's part of the target's
// load. While attempts end without a response, the demand is unknown, so the rate stays at its last value. No
// I/O, clock or thread; the record of each target owns one.
#ifndef WALNUTSPUR_LIMITS_STEADY_STATE_RATE_H_
#define WALNUTSPUR_LIMITS_STEADY_STATE_RATE_H_

#include "limits/decaying_counter.h"

namespace walnutspur::limits {

class SteadyStateRate {
 public:
  // Records `units` served at `now`, and ends a suspension.
  void Record(double units, Time now);

  // Suspends the measurement until the next call of Record; called when an attempt ends without a response.
  void Suspend(Time now);

  // Returns the rate at `now`, units per second, for an instance that has counted since `started_at`.
  double Rate(Time now, Time started_at) const;

 private:
  DecayingCounter served_units_;
  Time suspended_at_ = -1;  // -1: not suspended
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_STEADY_STATE_RATE_H_
