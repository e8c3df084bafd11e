// Outlier detection: the probability that an attempt at a target fails, from recent outcomes there and in its
// zone.
//
// A target that fails fast looks idle, and one that is silent looks idle until its first time-out, so both
// would attract new work. In a large fleet each instance seldom uses a target: it would learn of a failed
// zone target by target, too late, unless silence at one of them counts for the others as well. No I/O, clock
// or thread; owned by the scheduler's state.
#ifndef WALNUTSPUR_ROUTING_OUTLIER_DETECTION_H_
#define WALNUTSPUR_ROUTING_OUTLIER_DETECTION_H_

#include <map>

#include "routing/outcome_history.h"
#include "walnutspur/types.h"

namespace walnutspur::routing {

// Outcome histories of the zones. Those of the targets are in the targets' records.
class OutlierDetection {
 public:
  // Counts an outcome in the history of a target and of the zone that it is in. A target that answers with an
  // error has failed, but its zone responds. Outcomes that say nothing of a target's health, such as an
  // overload or a cancellation, count nowhere.
  void Record(Outcome outcome, int zone, Time now, OutcomeHistory& target);

  // Failure probability of an attempt at a target in `zone`, between 0 and 1, with the history of the zone as
  // the prior.
  double FailureProbability(const OutcomeHistory& target, int zone, Time now) const;

 private:
  std::map<int, OutcomeHistory> zones_;
};

}  // namespace walnutspur::routing

#endif  // WALNUTSPUR_ROUTING_OUTLIER_DETECTION_H_
