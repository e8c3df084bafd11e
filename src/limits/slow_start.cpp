#include "limits/slow_start.h"

#include <algorithm>
#include <cmath>

namespace walnutspur::limits {
namespace {

constexpr double kSecond = 1e6;            // us
constexpr double kAllowanceMargin = 0.9;   // part of the stated allowance that is used
constexpr double kSteadyRateFactor = 1.3;  // of what the steady rate allows: a target is half used as a rule
constexpr double kDemandPart = 0.75;  // part of it divided by present demand: shards move between instances
constexpr double kRateDecay = 2e7;    // us over which the steady rate is measured; shards move faster

}  // namespace

void SteadyStateRate::Record(double units, Time now) {
  if (suspended_at_ >= 0) {
    served_units_.changed_at += now - suspended_at_;  // the suspension does not count
  }
  suspended_at_ = -1;
  served_units_.Add(units, now, kRateDecay);
}

void SteadyStateRate::Suspend(Time now) {
  if (suspended_at_ < 0) {
    suspended_at_ = now;
  }
}

double SteadyStateRate::Rate(Time now, Time started_at) const {
  const Time until = suspended_at_ >= 0 ? std::min(now, suspended_at_) : now;
  const auto negative_span = static_cast<double>(started_at - until);
  const double measured = std::max(kSecond, kRateDecay * -std::expm1(negative_span / kRateDecay));
  return served_units_.Now(until, kRateDecay) / measured * kSecond;
}

void SlowStart::Start(Time started_at, Time now, double steady_rate, double first_units) {
  started_at_ = started_at;
  steady_rate_ = steady_rate;
  bucket_.tokens = first_units;
  refilled_at_ = now;
}

bool SlowStart::IsActive(const Settings& settings, Time now) const {
  return started_at_ > 0 && now < started_at_ + settings.rules.slow_start_duration;
}

double SlowStart::Capacity(const Rules& rules, Time at) const {
  const auto age = static_cast<double>(at - started_at_);
  const double progress = std::clamp(age / static_cast<double>(rules.slow_start_duration), 0.0, 1.0);
  return rules.slow_start_fraction + (1 - rules.slow_start_fraction) * progress;
}

// The stated units scale with the capacity that is promised at least, and the instances share them evenly. Of
// hundreds of instances none could send a request that way; but their steady rates add up to no more than a
// target's full capacity, so each may also send its own times capacity and threshold. What is sent in any
// window is within the rule's bound at its end if what is sent at each moment is. kSteadyRateFactor takes
// targets to be half used: it would be too much for one that was fully used and recovers no faster than it
// must (docs/design/fleet.md).
bool SlowStart::Admits(const Settings& settings, double units, double demanded_rate, Time now) {
  const Rules& rules = settings.rules;
  const Time window_start = now - rules.overload_window;
  sent_.ExpireThrough(window_start);
  if (!IsActive(settings, now)) {
    return true;
  }
  const double rate = kSteadyRateFactor * rules.overload_threshold * Capacity(rules, now) *
                      ((1 - kDemandPart) * steady_rate_ + kDemandPart * demanded_rate);
  bucket_.Refill(rate * static_cast<double>(now - refilled_at_) / kSecond, settings.max_request_units);
  refilled_at_ = now;
  if (bucket_.Covers(units)) {
    return true;
  }
  const double instance_part =
      settings.traffic_fraction > 0 ? settings.traffic_fraction : 1.0 / settings.instances;
  return sent_.TotalUnits() + units <= kAllowanceMargin * settings.slow_start_units *
                                           Capacity(rules, window_start) / rules.slow_start_fraction *
                                           instance_part;
}

void SlowStart::OnSent(const Settings& settings, double units, Time now) {
  sent_.Add(now, units);
  if (IsActive(settings, now)) {
    bucket_.tokens -= units;
  }
}

}  // namespace walnutspur::limits
