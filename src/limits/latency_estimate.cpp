#include "limits/latency_estimate.h"

#include <algorithm>
#include <cmath>

#include "limits/decaying_counter.h"

namespace walnutspur::limits {
namespace {

constexpr double kUnitTimeFall = 0.2;   // weight of a sample below the estimated service time
constexpr double kUnitTimeRise = 0.01;  // weight of one above it: the estimate is a low quantile
constexpr double kQueueingGain = 0.3;   // weight of the newest queueing delay

}  // namespace

double LatencyEstimate::Record(Time latency, double units, Time now) {
  const auto sample = static_cast<double>(latency);
  const double per_unit = sample / units;
  unit_time_ += (per_unit < unit_time_ ? kUnitTimeFall : kUnitTimeRise) * (per_unit - unit_time_);
  const double queueing = std::max(0.0, sample - units * unit_time_);
  // An instance that gets few responses from the target has only the newest one to go by.
  const double weight = 1 - (1 - kQueueingGain) * std::exp(-Age(now) / kQueueingDecay);
  SetQueueing(queueing_ + weight * (queueing - queueing_), now);
  return queueing;
}

void LatencyEstimate::SetQueueing(double queueing, Time now) {
  queueing_ = queueing;
  sampled_at_ = now;
}

double LatencyEstimate::ExpectedQueueing(Time now) const {
  const double age = Age(now);
  return std::max(queueing_ * std::exp(-std::min(kMaxDecay, age / kQueueingDecay)), queueing_ - age);
}

}  // namespace walnutspur::limits
