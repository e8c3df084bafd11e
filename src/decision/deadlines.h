// Deadlines: the times that bind a request and each of its attempts.
//
// Inputs: the request's arrival, objective and deadline, the fraction of its objective that clients wait, the
// target's expected queueing and service time, the endpoint lease, the deduplication window. All results are
// points in time of the events' clock, us, unless said otherwise. Functions over the SchedulerState, called
// on its thread.
#ifndef WALNUTSPUR_DECISION_DEADLINES_H_
#define WALNUTSPUR_DECISION_DEADLINES_H_

#include "decision/state.h"

namespace walnutspur::decision {

// End of the latency objective of a request that arrives now and whose other fields are set. The objective
// runs from the client's first attempt, which is the class's deadline before that of the request. A client
// that announces a wait shorter than the objective has until its deadline; but if it retries, its last
// attempt has taken too long for it already, so the objective is over.
Time ObjectiveEnd(const SchedulerState& state, const RequestState& request, const RequestArrived& arrival);

// Time by which a response must come: the end of the objective, or earlier where clients disconnect sooner.
Time LatestUsefulResponse(const SchedulerState& state, const RequestState& request);

// Whether an attempt sent to the target now is expected to respond by then.
bool CanMeetObjective(const SchedulerState& state, const RequestState& request, const TargetState& target);

// Rule: no request lost. Whether the deadline is too near for a timer to see the request again in time.
bool IsDeadlineNear(const SchedulerState& state, const RequestState& request);

// Timeout of an attempt sent now, us; 0: until the client's deadline. An attempt is cut off some time past
// its objective: the response earns little by then, and targets that drop what has timed out clear their
// queues. Not where order is kept, since a timeout quarantines the key.
Time AttemptTimeout(const SchedulerState& state, const RequestState& request);

// Time by which an attempt must have been written, 0: none. Until then the target drops its repeats, and the
// endpoint lease is valid.
Time LatestSendTime(const SchedulerState& state, const RequestState& request);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_DEADLINES_H_
