#include "limits/latency_estimate.h"

#include <algorithm>
#include <cmath>

#include "limits/decaying_counter.h"

namespace walnutspur::limits {
namespace {

// Weights of a sample below and of a sample above the estimated service time. They differ widely, so that the
// estimate is a low quantile of the latencies; the part of a latency above it is queueing delay.
constexpr double kFasterSampleWeight = 0.2;
constexpr double kSlowerSampleWeight = 0.01;
// Weight of the newest queueing delay if samples follow each other closely.
constexpr double kQueueingSampleWeight = 0.3;

}  // namespace

Duration LatencyEstimate::Record(Time latency, double units, Time now) {
  const Duration sample = Microseconds(latency);
  const Duration unit_sample = sample / units;
  const double unit_weight = unit_sample < unit_time_ ? kFasterSampleWeight : kSlowerSampleWeight;
  unit_time_ += unit_weight * (unit_sample - unit_time_);
  const Duration queueing = std::max(Duration::zero(), sample - units * unit_time_);
  // The weight grows with the time since the last sample: if the instance gets few responses from the target,
  // earlier samples are out of date.
  const double weight = 1 - (1 - kQueueingSampleWeight) * std::exp(-SampleAge(now) / kQueueingDecay);
  SetQueueing(queueing_ + weight * (queueing - queueing_), now);
  return queueing;
}

void LatencyEstimate::SetQueueing(Duration queueing, Time now) {
  queueing_ = queueing;
  sampled_at_ = now;
}

Duration LatencyEstimate::ExpectedQueueing(Time now) const {
  const Duration age = SampleAge(now);
  return std::max(queueing_ * std::exp(-std::min(kMaxDecay, age / kQueueingDecay)), queueing_ - age);
}

}  // namespace walnutspur::limits
