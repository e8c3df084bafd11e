#include "routing/outcome_history.h"

namespace walnutspur::routing {
namespace {

constexpr double kDecayTime = 5e6;        // us over which outcomes are counted
constexpr double kTargetPriorWeight = 1;  // outcomes: the target's own soon outweigh its zone's
constexpr double kZonePriorWeight = 4;    // outcomes: a single time-out in a zone says little

}  // namespace

void OutcomeHistory::Record(bool failed, Time now) {
  limits::DecayingCounter& counter = failed ? failures_ : successes_;
  counter.Add(1, now, kDecayTime);
}

double OutcomeHistory::FailureProbability(double prior, double prior_weight, Time now) const {
  const double failures = failures_.Now(now, kDecayTime);
  const double successes = successes_.Now(now, kDecayTime);
  return (failures + prior * prior_weight) / (failures + successes + prior_weight);
}

double FailureProbability(const OutcomeHistory& target, const OutcomeHistory& zone, Time now) {
  return target.FailureProbability(zone.FailureProbability(0, kZonePriorWeight, now), kTargetPriorWeight,
                                   now);
}

}  // namespace walnutspur::routing
