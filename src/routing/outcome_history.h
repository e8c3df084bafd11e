// How likely an attempt at a box comes to nothing, from what became of the last ones there and in its zone.
//
// A box that fails fast looks idle, and one that is silent looks idle until its first time-out, so both draw
// new work. Of a large fleet each host meets a box seldom: it learns of a lost zone box by box, too late,
// unless silence at one of them counts for the others as well. No I/O, clock or thread; owned by the
// Scheduler.
#ifndef WALNUTSPUR_ROUTING_OUTCOME_HISTORY_H_
#define WALNUTSPUR_ROUTING_OUTCOME_HISTORY_H_

#include "limits/decaying_counter.h"

namespace walnutspur::routing {

// Attempts of a box, or of a zone, that came to nothing and that did not.
class OutcomeHistory {
 public:
  void Record(bool bad, Time now);
  // Between 0 and 1. `before` is what is believed while nothing is known, `weight` how many attempts that is
  // worth.
  double FailureProbability(double before, double weight, Time now) const;

 private:
  limits::DecayingCounter bad_, good_;
};

// The risk of an attempt at a box of a zone.
double FailureProbability(const OutcomeHistory& box, const OutcomeHistory& zone, Time now);

}  // namespace walnutspur::routing

#endif  // WALNUTSPUR_ROUTING_OUTCOME_HISTORY_H_
