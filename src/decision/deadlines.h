// Deadlines: the time limits of a request and of each of its attempts.
//
// Inputs: the request's arrival, objective and deadline, the fraction of its objective that clients wait, the
// target's expected queueing and service time, the endpoint lease, the deduplication window. Unless stated
// otherwise, results are points in time of the events' clock, us. Functions that read the SchedulerState.
// Called on the scheduler thread.
#ifndef WALNUTSPUR_DECISION_DEADLINES_H_
#define WALNUTSPUR_DECISION_DEADLINES_H_

#include "decision/state.h"

namespace walnutspur::decision {

// Returns the time at which the latency objective of a request that arrives now ends. The class and the
// deadline of `request` must be set. If arrival.ttl is at least the class's latency objective, the objective
// is counted from the client's first attempt, which was sent at (request deadline - class deadline). If
// arrival.ttl is shorter, the result is the request's deadline, or `now` for a client retry: the client's
// previous attempt has already used up the objective.
Time ObjectiveEnd(const SchedulerState& state, const RequestState& request, const RequestArrived& arrival);

// Returns the latest time at which a response is useful: the end of the objective, or earlier if clients
// disconnect sooner.
Time LatestUsefulResponse(const SchedulerState& state, const RequestState& request);

// Returns whether an attempt sent to the target now is expected to have its response by LatestUsefulResponse.
bool CanMeetObjective(const SchedulerState& state, const RequestState& request, const TargetState& target);

// Returns whether the deadline is too near for a timer to check the request again before it. Implements the
// rule "no request lost".
bool IsDeadlineNear(const SchedulerState& state, const RequestState& request);

// Returns the timeout of an attempt sent now, us; 0: none before the client's deadline. An attempt times out
// some time after its objective: its response would earn little by then, and targets that drop timed-out
// requests clear their queues. Classes ordered by key have no timeout, since it would quarantine the key.
Time AttemptTimeout(const SchedulerState& state, const RequestState& request);

// Returns the time by which an attempt must have been written, 0: none. Until then the target drops repeats
// of the request, and the endpoint lease is valid.
Time LatestSendTime(const SchedulerState& state, const RequestState& request);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_DEADLINES_H_
