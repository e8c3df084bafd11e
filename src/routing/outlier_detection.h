// Estimates the probability that an attempt at a target fails, from recent outcomes at the target and in its
// zone.
//
// A target that fails fast appears idle, and a target that does not respond appears idle until its first
// time-out, so both would attract new requests. In a large fleet each instance uses a target seldom. It would
// detect a failed zone one target at a time, and too late, unless a missing response at one target counted
// for the zone's other targets as well. No I/O, clock or thread; owned by the scheduler's state.
#ifndef WALNUTSPUR_ROUTING_OUTLIER_DETECTION_H_
#define WALNUTSPUR_ROUTING_OUTLIER_DETECTION_H_

#include <map>

#include "routing/outcome_history.h"
#include "walnutspur/types.h"

namespace walnutspur::routing {

// Class OutlierDetection holds the outcome histories of the zones. Those of the targets are in their records.
class OutlierDetection {
 public:
  // Counts an outcome in the history of a target and in that of its zone. A target that responds with an
  // error counts as failed, but its zone as responding. Outcomes that do not depend on a target's health,
  // such as an overload or a cancellation, are not counted.
  void Record(Outcome outcome, int zone, Time now, OutcomeHistory& target);

  // Returns the failure probability of an attempt at a target in `zone`, between 0 and 1. The history of the
  // zone is the prior.
  double FailureProbability(const OutcomeHistory& target, int zone, Time now) const;

 private:
  std::map<int, OutcomeHistory> zones_;
};

}  // namespace walnutspur::routing

#endif  // WALNUTSPUR_ROUTING_OUTLIER_DETECTION_H_
