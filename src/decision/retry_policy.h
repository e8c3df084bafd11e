// Retry policy: whether a request is attempted again, after an attempt that has ended or instead of one that
// is overtaken.
//
// Functions over the SchedulerState, called on its thread.
#ifndef WALNUTSPUR_DECISION_RETRY_POLICY_H_
#define WALNUTSPUR_DECISION_RETRY_POLICY_H_

#include "decision/state.h"

namespace walnutspur::decision {

// Whether a request may be attempted again after an attempt with this outcome: its objective and deadline are
// still ahead, it has attempts left (settings), the retry budget allows it, and no effect can take place
// twice. Not after an attempt that was never sent (kNotSent): the time by which it had to be written or
// its own timeout has passed, its client has disconnected, or its attempts are used up.
bool MayRetry(SchedulerState& state, const RequestState& request, Outcome outcome);

// Cancels the attempts at a target that later ones have overtaken (loss_detection.h), if their requests are
// idempotent, may be attempted again and can still meet their objective; they are sent again once the
// cancelled attempt has ended. Covers silent connections and truncated responses, which would otherwise end
// by timeout only after the objective. Uneven service is rarely mistaken for them.
void CancelOvertakenAttempts(SchedulerState& state, const TargetState& target);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_RETRY_POLICY_H_
