// Slow start: how much of a target's work reaches this initiator, and what it may send to the target after a
// restart.
//
// The rule on targets in slow start binds all initiators together, and they share no state: a target that is
// sent more than `overload_threshold` times its present capacity for `overload_window` fails. Each instance
// answers for a part. The instances' rates of service before the restart add up to no more than the target's
// full capacity, so parts of those rates are safe. No I/O, clock or thread; the scheduler's state owns one of
// each for a target.
#ifndef WALNUTSPUR_LIMITS_SLOW_START_H_
#define WALNUTSPUR_LIMITS_SLOW_START_H_

#include <cstddef>

#include "limits/decaying_counter.h"
#include "limits/sliding_window.h"
#include "limits/token_bucket.h"

namespace walnutspur::limits {

// Rate at which a target serves this instance while it is healthy.
class SteadyStateRate {
 public:
  // Records `units` served at `now`, and ends a suspension.
  void Record(double units, Time now);

  // Suspends the measurement when an attempt ends without a response: until the next one is served the demand
  // is unknown, so the rate as of then holds.
  void Suspend(Time now);

  // Units a second at `now`, of an instance that has measured since `started_at`.
  double Rate(Time now, Time started_at) const;

 private:
  DecayingCounter served_units_;
  Time suspended_at_ = -1;  // -1: not suspended
};

// Admission of requests to a target in slow start, by the rule's figures in the settings.
class SlowStart {
 public:
  // The target's process started at `started_at` (0: long ago) and this instance learns of it at `now`.
  // `steady_rate` is what it served this instance before, units a second; `first_units` may be sent at once.
  void Start(Time started_at, Time now, double steady_rate, double first_units);

  // Whether the target is in slow start.
  bool IsActive(const Settings& settings, Time now) const;

  // Whether `units` more may be sent now. `demanded_rate` is the rate (units a second) at which the target
  // would serve this instance if its rate at all targets were divided by present demand.
  bool Admits(const Settings& settings, double units, double demanded_rate, Time now);

  // Counts `units` sent to the target.
  void OnSent(const Settings& settings, double units, Time now);

  // Number of entries held.
  std::size_t table_entries() const { return sent_.count(); }

 private:
  // Part of its full capacity that the target has at `at`.
  double Capacity(const Rules& rules, Time at) const;

  Time started_at_ = 0;
  Time refilled_at_ = 0;
  double steady_rate_ = 0;  // units a second
  TokenBucket bucket_;
  SlidingWindow sent_;  // within overload_window
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_SLOW_START_H_
