// Loss detection: which attempts later ones at the same target have overtaken.
//
// Targets serve in order of arrival, so an attempt that is still open although one sent well after it has
// completed was dropped on the way, or its response was. The margin, four service times and a fraction of a
// latency objective, allows for uneven service and reordering. There are two rules, for two costs of an
// error:
//
// - presumed lost: the attempt no longer counts as occupying the target. An error overloads the target, which
//   concerns every class, so the objective is the tightest of all and the fraction the larger one.
// - overtaken: the attempt may be cancelled and sent again, if its request still can meet its objective. An
//   error costs a retry out of the budget, and a late one misses the class's own objective; so the objective
//   is the class's and the fraction the smaller one.
//
// Functions over the SchedulerState, called on its thread.
#ifndef WALNUTSPUR_DECISION_LOSS_DETECTION_H_
#define WALNUTSPUR_DECISION_LOSS_DETECTION_H_

#include "decision/state.h"

namespace walnutspur::decision {

// Whether an attempt of `units` that was sent at `sent_at` is presumed lost.
bool IsPresumedLost(const SchedulerState& state, const TargetState& target, Time sent_at, double units);

// The same of an attempt that the target has.
bool IsPresumedLost(const SchedulerState& state, const TargetState& target, const Attempt& attempt);

// Whether an attempt is overtaken.
bool IsOvertaken(const SchedulerState& state, const TargetState& target, const Attempt& attempt);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_LOSS_DETECTION_H_
