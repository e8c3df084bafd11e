// Loss detection: finds attempts that later attempts at the same target have overtaken.
//
// Targets serve requests in order of arrival. If an attempt is still in flight although one sent well after
// it has completed, the attempt or its response was lost. The margin, four service times and a fraction of a
// latency objective, allows for uneven service and reordering. There are two rules, since the cost of a wrong
// result differs:
//
// - presumed lost: the attempt no longer counts as occupying the target. A wrong result overloads the target,
//   which affects every class, so the margin uses the tightest objective and the larger fraction.
// - overtaken: the attempt may be cancelled and sent again if its request can still meet its objective. A
//   wrong result costs a retry from the budget, and a late result makes the request miss its class's
//   objective, so the margin uses the class's objective and the smaller fraction.
//
// Functions that read the SchedulerState. Called on the scheduler thread.
#ifndef WALNUTSPUR_DECISION_LOSS_DETECTION_H_
#define WALNUTSPUR_DECISION_LOSS_DETECTION_H_

#include "decision/state.h"

namespace walnutspur::decision {

// Returns whether an attempt of `units` sent to the target at `sent_at` is presumed lost.
bool IsPresumedLost(const SchedulerState& state, const TargetState& target, Time sent_at, double units);

// Returns whether `attempt`, one of the target's attempts, is presumed lost.
bool IsPresumedLost(const SchedulerState& state, const TargetState& target, const Attempt& attempt);

// Returns whether `attempt`, one of the target's attempts, is overtaken.
bool IsOvertaken(const SchedulerState& state, const TargetState& target, const Attempt& attempt);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_LOSS_DETECTION_H_
