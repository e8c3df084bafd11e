#include "limits/slow_start.h"

#include <algorithm>
#include <cmath>

namespace walnutspur::limits {
namespace {

constexpr double kSecond = 1e6;      // us
constexpr double kCaution = 0.9;     // part of the stated allowance that is used
constexpr double kPart = 1.3;        // part of what usual service allows: a warm box is half used
constexpr double kMoved = 0.75;      // part of it dealt out by present demand: leads pass from host to host
constexpr double kUsualFades = 2e7;  // us over which usual service is seen; leads pass faster

}  // namespace

void SteadyStateRate::Record(double units, Time now) {
  if (silent_ >= 0) served_.at += now - silent_;  // the gap does not count
  silent_ = -1;
  served_.Add(units, now, kUsualFades);
}

void SteadyStateRate::Suspend(Time now) {
  if (silent_ < 0) silent_ = now;
}

double SteadyStateRate::Rate(Time now, Time born) const {
  const Time until = silent_ >= 0 ? std::min(now, silent_) : now;
  const double seen = std::max(kSecond, kUsualFades * -std::expm1(double(born - until) / kUsualFades));
  return served_.Now(until, kUsualFades) / seen * kSecond;
}

void SlowStart::Start(Time launched, Time now, double usual, double first) {
  launched_ = launched;
  usual_ = usual;
  tokens_ = first;
  filled_ = now;
}

bool SlowStart::IsActive(const Settings& settings, Time now) const {
  return launched_ > 0 && now < launched_ + settings.rules.slow_start_duration;
}

// The stated units scale with the growth that is promised at least, and the hosts share them evenly. Of
// hundreds of hosts none would get a request so; but parts of usual service add up to no more than what warm
// boxes can do, so each host may also send that times growth and multiple. What leaves within any span is
// under the rule's bound at its end if what leaves at each moment is. kPart takes boxes to be half used: it
// would be too much for one that was used up and warms no faster than it must (docs/design/fleet.md).
bool SlowStart::Admits(const Settings& settings, double units, double demand, Time now) {
  const Rules& rules = settings.rules;
  const Time since = now - rules.overload_window;
  while (!sent_.empty() && sent_.front().first <= since) sent_.pop_front();
  if (!IsActive(settings, now)) return true;
  const auto grown = [&rules, this](Time at) {
    const double age = std::clamp(double(at - launched_) / double(rules.slow_start_duration), 0.0, 1.0);
    return rules.slow_start_fraction + (1 - rules.slow_start_fraction) * age;
  };
  const double rate =
      kPart * rules.overload_threshold * grown(now) * ((1 - kMoved) * usual_ + kMoved * demand);
  tokens_ = std::min(settings.max_request_units, tokens_ + rate * double(now - filled_) / kSecond);
  filled_ = now;
  if (tokens_ >= units) return true;
  double sent = 0;
  for (const auto& [at, was] : sent_) sent += was;
  return sent + units <=
         kCaution * settings.slow_start_units * grown(since) / rules.slow_start_fraction *
             (settings.traffic_fraction > 0 ? settings.traffic_fraction : 1.0 / settings.instances);
}

void SlowStart::OnSent(const Settings& settings, double units, Time now) {
  sent_.emplace_back(now, units);
  if (IsActive(settings, now)) tokens_ -= units;
}

}  // namespace walnutspur::limits
