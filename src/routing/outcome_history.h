// Outlier detection: the probability that an attempt at a target fails, from recent outcomes there and in its
// zone.
//
// A target that fails fast looks idle, and one that is silent looks idle until its first time-out, so both
// would attract new work. In a large fleet each instance seldom uses a target: it would learn of a failed
// zone target by target, too late, unless silence at one of them counts for the others as well. No I/O, clock
// or thread; owned by the scheduler's state.
#ifndef WALNUTSPUR_ROUTING_OUTCOME_HISTORY_H_
#define WALNUTSPUR_ROUTING_OUTCOME_HISTORY_H_

#include "limits/decaying_counter.h"

namespace walnutspur::routing {

// Failures and successes at a target, or in a zone.
class OutcomeHistory {
 public:
  // Counts an outcome at `now`.
  void Record(bool failed, Time now);

  // Failure probability, between 0 and 1. `prior` is the probability assumed without outcomes, `prior_weight`
  // the number of outcomes that it counts as.
  double FailureProbability(double prior, double prior_weight, Time now) const;

 private:
  limits::DecayingCounter failures_;
  limits::DecayingCounter successes_;
};

// Failure probability of an attempt at a target, with the history of its zone as the prior.
double FailureProbability(const OutcomeHistory& target, const OutcomeHistory& zone, Time now);

}  // namespace walnutspur::routing

#endif  // WALNUTSPUR_ROUTING_OUTCOME_HISTORY_H_
