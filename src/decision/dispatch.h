// Dispatch: which queued request is sent to a target next, and when.
//
// Functions over the SchedulerState, called on its thread.
#ifndef WALNUTSPUR_DECISION_DISPATCH_H_
#define WALNUTSPUR_DECISION_DISPATCH_H_

#include "decision/state.h"

namespace walnutspur::decision {

// Queues a request in the flow of its volume at a shard; a retry goes to the front.
void Enqueue(SchedulerState& state, const RequestRef& request, Volume& volume, int shard);

// Sends the queued requests for which the target has capacity, in order of priority band, start tag and
// arrival. The first one without capacity ends the dispatch: a smaller one behind it must not overtake it.
void DispatchQueued(SchedulerState& state, TargetState& target);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_DISPATCH_H_
