#include "limits/slow_start.h"

#include <algorithm>

#include "limits/duration.h"

namespace walnutspur::limits {
namespace {

// Fraction of the allowance in the settings that is used.
constexpr double kAllowanceFraction = 0.9;
// Factor applied to the rate that the steady rate allows. It assumes that targets are half used; it would be
// too high for a target that was fully used and recovers no faster than the rule demands
// (docs/design/fleet.md).
constexpr double kSteadyRateFactor = 1.3;
// Fraction of the rate that follows present demand instead of the steady rate, since the traffic of shards
// moves between instances.
constexpr double kDemandFraction = 0.75;

}  // namespace

void SlowStart::Start(Time started_at, Time now, double steady_rate, double initial_units) {
  started_at_ = started_at;
  steady_rate_ = steady_rate;
  bucket_.tokens = initial_units;
  refilled_at_ = now;
}

bool SlowStart::IsActive(const Settings& settings, Time now) const {
  return started_at_ > 0 && now < started_at_ + settings.rules.slow_start_duration;
}

double SlowStart::Capacity(const Rules& rules, Time at) const {
  const double age = Elapsed(started_at_, at) / Microseconds(rules.slow_start_duration);
  const double progress = std::clamp(age, 0.0, 1.0);
  return rules.slow_start_fraction + (1 - rules.slow_start_fraction) * progress;
}

double SlowStart::AllowedRate(const Rules& rules, double demanded_rate, Time now) const {
  const double expected_rate = (1 - kDemandFraction) * steady_rate_ + kDemandFraction * demanded_rate;
  return kSteadyRateFactor * rules.overload_threshold * Capacity(rules, now) * expected_rate;
}

double SlowStart::WindowAllowance(const Settings& settings, Time window_start) const {
  const Rules& rules = settings.rules;
  const double instance_fraction =
      settings.traffic_fraction > 0 ? settings.traffic_fraction : 1.0 / settings.instances;
  return kAllowanceFraction * settings.slow_start_units * Capacity(rules, window_start) /
         rules.slow_start_fraction * instance_fraction;
}

// A request is admitted by either of two allowances. The first is the units in the settings, scaled with the
// minimum capacity that the target has at the time and divided evenly among the instances. With hundreds of
// instances that share would be too small for a single request. The second is therefore a rate: the steady
// rates of all instances add up to no more than the target's full capacity, so each instance may send at its
// own steady rate times capacity and threshold. The units sent in a window are within the rule's bound if the
// rate is within it at each moment.
bool SlowStart::Admits(const Settings& settings, double units, double demanded_rate, Time now) {
  const Time window_start = now - settings.rules.overload_window;
  sent_.ExpireThrough(window_start);
  if (!IsActive(settings, now)) {
    return true;
  }
  const double rate = AllowedRate(settings.rules, demanded_rate, now);
  bucket_.Refill(rate * Elapsed(refilled_at_, now) / kSecond, settings.max_request_units);
  refilled_at_ = now;
  return bucket_.Covers(units) || sent_.TotalUnits() + units <= WindowAllowance(settings, window_start);
}

void SlowStart::OnSent(const Settings& settings, double units, Time now) {
  sent_.Add(now, units);
  if (IsActive(settings, now)) {
    bucket_.tokens -= units;
  }
}

}  // namespace walnutspur::limits
