// Records recent outcomes of attempts at one target or in one zone. No I/O, clock or thread.
#ifndef WALNUTSPUR_ROUTING_OUTCOME_HISTORY_H_
#define WALNUTSPUR_ROUTING_OUTCOME_HISTORY_H_

#include "limits/decaying_counter.h"

namespace walnutspur::routing {

// Class OutcomeHistory counts failures and successes, each with a weight that decays with its age.
class OutcomeHistory {
 public:
  // Counts an outcome at `now`.
  void Record(bool failed, Time now);

  // Returns the failure probability, between 0 and 1. `prior` is the probability that is assumed without
  // outcomes; `prior_weight` is the number of outcomes that the prior counts as.
  double FailureProbability(double prior, double prior_weight, Time now) const;

 private:
  limits::DecayingCounter failures_;
  limits::DecayingCounter successes_;
};

}  // namespace walnutspur::routing

#endif  // WALNUTSPUR_ROUTING_OUTCOME_HISTORY_H_
