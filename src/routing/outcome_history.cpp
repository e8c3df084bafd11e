#include "routing/outcome_history.h"

namespace walnutspur::routing {
namespace {

// Time in which the weight of an outcome falls to 1/e.
constexpr Duration kDecayTime = std::chrono::seconds(5);

}  // namespace

void OutcomeHistory::Record(bool failed, Time now) {
  limits::DecayingCounter& counter = failed ? failures_ : successes_;
  counter.Add(1, now, kDecayTime);
}

double OutcomeHistory::FailureProbability(double prior, double prior_weight, Time now) const {
  const double failures = failures_.ValueAt(now, kDecayTime);
  const double successes = successes_.ValueAt(now, kDecayTime);
  return (failures + prior * prior_weight) / (failures + successes + prior_weight);
}

}  // namespace walnutspur::routing
