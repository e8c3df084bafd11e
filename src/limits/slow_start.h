// Slow start: what this instance may send to a target after the target's restart.
//
// The rule on targets in slow start binds all instances together, and they share no state: a target that is
// sent more than `overload_threshold` times its present capacity for `overload_window` fails. Each instance
// answers for a part. The instances' rates of service before the restart add up to no more than the target's
// full capacity, so fractions of those rates are safe. No I/O, clock or thread; the record of each target
// owns one.
#ifndef WALNUTSPUR_LIMITS_SLOW_START_H_
#define WALNUTSPUR_LIMITS_SLOW_START_H_

#include <cstddef>

#include "limits/sliding_window.h"
#include "limits/token_bucket.h"
#include "walnutspur/settings.h"

namespace walnutspur::limits {

// Admission of requests to a target in slow start, by the rule's figures in the settings.
class SlowStart {
 public:
  // The target's process started at `started_at` (0: long ago) and this instance learns of it at `now`.
  // `steady_rate` is what it served this instance before, units a second; `initial_units` may be sent at
  // once.
  void Start(Time started_at, Time now, double steady_rate, double initial_units);

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
  // Fraction of its full capacity that the target has at `at`.
  double Capacity(const Rules& rules, Time at) const;

  // Rate at which credit accrues at `now`, units a second.
  double AllowedRate(const Rules& rules, double demanded_rate, Time now) const;

  // Units of the fleet's allowance for a window from `window_start` that are this instance's.
  double WindowAllowance(const Settings& settings, Time window_start) const;

  Time started_at_ = 0;
  Time refilled_at_ = 0;
  double steady_rate_ = 0;  // units a second
  TokenBucket bucket_;
  SlidingWindow sent_;  // within overload_window
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_SLOW_START_H_
