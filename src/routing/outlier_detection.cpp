#include "routing/outlier_detection.h"

namespace walnutspur::routing {
namespace {

// Number of outcomes that the prior counts as. A target's own outcomes soon outweigh those of its zone. A
// zone needs several, because a single time-out hardly shows that the zone has failed.
constexpr double kTargetPriorWeight = 1;
constexpr double kZonePriorWeight = 4;
// Failure probability that is assumed for a zone without outcomes.
constexpr double kZonePrior = 0;

}  // namespace

void OutlierDetection::Record(Outcome outcome, int zone, Time now, OutcomeHistory& target) {
  const bool completed = outcome == Outcome::kCompleted;
  const bool responded = completed || outcome == Outcome::kErrored;
  if (responded || outcome == Outcome::kTimedOut || outcome == Outcome::kConnectFailed) {
    target.Record(!completed, now);
    zones_[zone].Record(!responded, now);
  }
}

double OutlierDetection::FailureProbability(const OutcomeHistory& target, int zone, Time now) const {
  const auto found = zones_.find(zone);
  const double zone_probability = found != zones_.end()
                                      ? found->second.FailureProbability(kZonePrior, kZonePriorWeight, now)
                                      : kZonePrior;
  return target.FailureProbability(zone_probability, kTargetPriorWeight, now);
}

}  // namespace walnutspur::routing
