// Admission: decides whether a request is sent, waits in its queue, or is rejected.
//
// There is one rule for each moment of a request: dispatch, arrival and waiting. Each rule requires a valid
// endpoint lease. After the lease has expired, targets may be draining without this instance being notified,
// so nothing is sent. A request would then wait until discovery is back; it is better for its client to
// retry.
//
// Functions that read the SchedulerState. Called on the scheduler thread.
#ifndef WALNUTSPUR_DECISION_ADMISSION_H_
#define WALNUTSPUR_DECISION_ADMISSION_H_

#include "decision/state.h"

namespace walnutspur::decision {

// Returns whether attempts may be sent to a target now: the endpoint lease is valid, the target is active and
// holds its shard, and its backoff is over.
bool MayDispatchTo(const SchedulerState& state, const TargetState& target);

// Returns whether a request that has just arrived and could not be sent at once may wait in its queue: the
// endpoint lease is valid, and a timer fires early enough before the deadline to check the request again.
bool MayWaitOnArrival(const SchedulerState& state, const RequestState& request);

// Returns whether a queued request may keep waiting: the endpoint lease is valid, the deadline is not near,
// and the response would be in time to be useful if the request were sent now to an idle target.
bool MayKeepWaiting(const SchedulerState& state, const RequestState& request);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_ADMISSION_H_
