// Retry policy: whether a request is attempted again, how it ends otherwise, and which attempts are
// cancelled.
//
// Functions over the SchedulerState, called on its thread.
#ifndef WALNUTSPUR_DECISION_RETRY_POLICY_H_
#define WALNUTSPUR_DECISION_RETRY_POLICY_H_

#include "decision/state.h"

namespace walnutspur::decision {

// Time by which a response must come: the end of the objective, or earlier where clients disconnect sooner.
Time LatestUsefulResponse(const SchedulerState& state, const RequestState& request);

// Whether an attempt sent to the target now is expected to respond by then.
bool IsFeasible(const SchedulerState& state, const RequestState& request, const TargetState& target);

// Rule: no request lost. Whether the deadline is too near for a timer to see the request again in time.
bool IsDeadlineNear(const SchedulerState& state, const RequestState& request);

// Whether a request may be attempted again after an attempt with this outcome.
bool MayRetry(SchedulerState& state, const RequestState& request, Outcome outcome);

// Whether an attempt at a target of this shard and zone cannot make the request's effect happen twice.
bool IsRepeatSafe(const SchedulerState& state, const RequestState& request, int shard, int zone);

// Whether the request's repeats are dropped, but only by the targets and until the time that its class
// states.
bool IsBoundToTarget(const SchedulerState& state, const RequestState& request);

// Time until which targets drop the request's repeats, us.
Time DeduplicatedUntil(const SchedulerState& state, const RequestState& request);

// Gives up a request: rejects it where a new attempt by the client is safe, otherwise fails it.
void Respond(SchedulerState& state, const RequestState& request);

// Cancels the attempts at a target that later ones have overtaken, while another can still meet the
// objective; it is sent once the cancelled one has ended. Covers silent connections and truncated responses,
// which would otherwise end by time-out only after the objective. Uneven service is rarely mistaken for them.
void CancelOvertakenAttempts(SchedulerState& state, const TargetState& target);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_RETRY_POLICY_H_
