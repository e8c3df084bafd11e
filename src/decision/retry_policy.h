// Retry policy: decides whether a request is attempted again, after an attempt that has ended or in place of
// an overtaken one.
//
// Functions that read and update the SchedulerState. Called on the scheduler thread.
#ifndef WALNUTSPUR_DECISION_RETRY_POLICY_H_
#define WALNUTSPUR_DECISION_RETRY_POLICY_H_

#include "decision/state.h"

namespace walnutspur::decision {

// Returns whether a request may be attempted again after an attempt with this outcome: its objective has not
// ended, its deadline is not near, it has attempts left (settings), the retry budget allows a retry, and the
// request cannot take effect twice. There is no retry after an attempt that was never sent (kNotSent): its
// latest send time or its timeout has passed, the client has disconnected, or no attempts are left.
bool MayRetry(SchedulerState& state, const RequestState& request, Outcome outcome);

// Cancels the attempts at a target that later attempts have overtaken (loss_detection.h), if their requests
// are idempotent, may be attempted again and can still meet their objective. A request is sent again when its
// cancelled attempt has ended. This handles silent connections and truncated responses, whose attempts would
// otherwise time out after the objective. Uneven service rarely causes a cancellation.
void CancelOvertakenAttempts(SchedulerState& state, const TargetState& target);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_RETRY_POLICY_H_
