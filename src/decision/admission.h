// Admission: whether a request is sent, waits in its queue, or is rejected.
//
// Three rules, from the three moments at which they are applied. Each of them begins with the endpoint lease:
// once it has expired, targets may be draining without this instance's knowledge, so nothing is sent, and a
// request would wait for as long as discovery is away; its client does better to retry.
//
// Functions over the SchedulerState, called on its thread.
#ifndef WALNUTSPUR_DECISION_ADMISSION_H_
#define WALNUTSPUR_DECISION_ADMISSION_H_

#include "decision/state.h"

namespace walnutspur::decision {

// Whether attempts may be sent to a target now: the endpoint lease is valid, the target is active and holds
// its shard, and its backoff is over.
bool MayDispatchTo(const SchedulerState& state, const TargetState& target);

// Whether a request that has just arrived, and could not be sent at once, may wait in its queue: the endpoint
// lease is valid, and the deadline is far enough for a timer to see the request again.
bool MayWaitOnArrival(const SchedulerState& state, const RequestState& request);

// Whether a queued request may go on waiting: the endpoint lease is valid, the deadline is not near, and its
// response can come in time to be useful even if it is sent now to an idle target.
bool MayKeepWaiting(const SchedulerState& state, const RequestState& request);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_ADMISSION_H_
