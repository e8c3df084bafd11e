#include "limits/steady_state_rate.h"

#include <algorithm>
#include <cmath>

namespace walnutspur::limits {
namespace {

// Time in which the weight of served units falls to 1/e. Shards move between instances faster than that.
constexpr Duration kDecayTime = std::chrono::seconds(20);

}  // namespace

void SteadyStateRate::Record(double units, Time now) {
  if (suspended_at_ >= 0) {
    served_units_.changed_at += now - suspended_at_;  // the time of the suspension does not count
  }
  suspended_at_ = -1;
  served_units_.Add(units, now, kDecayTime);
}

void SteadyStateRate::Suspend(Time now) {
  if (suspended_at_ < 0) {
    suspended_at_ = now;
  }
}

double SteadyStateRate::Rate(Time now, Time started_at) const {
  const Time until = suspended_at_ >= 0 ? std::min(now, suspended_at_) : now;
  const Duration observed =
      std::max(kSecond, kDecayTime * -std::expm1(Elapsed(until, started_at) / kDecayTime));
  return served_units_.ValueAt(until, kDecayTime) / observed.count() * kSecond.count();
}

}  // namespace walnutspur::limits
