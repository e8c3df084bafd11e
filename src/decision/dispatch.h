// Dispatch: decides which queued request is sent to a target next, and when.
//
// Functions that read and update the SchedulerState. Called on the scheduler thread.
#ifndef WALNUTSPUR_DECISION_DISPATCH_H_
#define WALNUTSPUR_DECISION_DISPATCH_H_

#include "decision/state.h"

namespace walnutspur::decision {

// Adds a request to the queue of its volume's flow at a shard: a retry to the front, any other to the back.
void Enqueue(SchedulerState& state, const RequestRef& request, Volume& volume, int shard);

// Sends the queued requests for which the target has capacity, in order of priority band, start tag and
// arrival. Dispatch stops at the first request without capacity, so that no smaller request overtakes it.
void DispatchQueued(SchedulerState& state, TargetState& target);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_DISPATCH_H_
