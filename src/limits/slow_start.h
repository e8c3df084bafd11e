// Limits the load that this instance sends to a target after the target's restart.
//
// A target in slow start fails if it is sent more than `overload_threshold` times its present capacity for
// `overload_window`. This rule applies to all instances together, but they share no state, so each instance
// keeps to a part of the allowance. The rates at which the target served the instances before the restart add
// up to no more than its full capacity, so fractions of those rates are safe. No I/O, clock or thread; the
// record of each target owns one.
#ifndef WALNUTSPUR_LIMITS_SLOW_START_H_
#define WALNUTSPUR_LIMITS_SLOW_START_H_

#include <cstddef>

#include "limits/sliding_window.h"
#include "limits/token_bucket.h"
#include "walnutspur/settings.h"

namespace walnutspur::limits {

// Class SlowStart admits requests to a target in slow start, by the figures of the rule in the settings.
class SlowStart {
 public:
  // Starts a slow start: the target's process started at `started_at` (0: long ago), and this instance is
  // notified of it at `now`.
  // `steady_rate` is what it served this instance before, units a second; `initial_units` may be sent at
  // once.
  void Start(Time started_at, Time now, double steady_rate, double initial_units);

  // Returns whether the target is in slow start.
  bool IsActive(const Settings& settings, Time now) const;

  // Returns whether a request of `units` may be sent now. `demanded_rate` is the rate (units per second) at
  // which the target would serve this instance if the instance's rate at all targets were divided among them
  // by present demand.
  bool Admits(const Settings& settings, double units, double demanded_rate, Time now);

  // Counts `units` sent to the target.
  void OnSent(const Settings& settings, double units, Time now);

  // Returns the number of entries held.
  std::size_t table_entries() const { return sent_.count(); }

 private:
  // Returns the fraction of its full capacity that the target has at `at`.
  double Capacity(const Rules& rules, Time at) const;

  // Returns the rate at which credit accrues at `now`, units per second.
  double AllowedRate(const Rules& rules, double demanded_rate, Time now) const;

  // Returns this instance's part of the fleet's allowance for the window that begins at `window_start`, in
  // units.
  double WindowAllowance(const Settings& settings, Time window_start) const;

  Time started_at_ = 0;
  Time refilled_at_ = 0;
  double steady_rate_ = 0;  // units per second
  TokenBucket bucket_;
  SlidingWindow sent_;  // units sent within overload_window
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_SLOW_START_H_
