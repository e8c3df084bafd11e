// Final response: decides whether a request that is not served is rejected or fails.
//
// The request is rejected if a new attempt by the client is safe (idempotency.h), with a Retry-After if the
// settings enable it. Otherwise it fails: whether it was executed is unknown. Functions that read the
// SchedulerState and add to its actions. Called on the scheduler thread.
#ifndef WALNUTSPUR_DECISION_FINAL_RESPONSE_H_
#define WALNUTSPUR_DECISION_FINAL_RESPONSE_H_

#include "decision/state.h"

namespace walnutspur::decision {

// Emits the rejection or the failure of a request.
void Respond(SchedulerState& state, const RequestState& request);

// Emits the rejection of a request that has not been attempted.
void Reject(SchedulerState& state, const RequestState& request, RejectionReason reason);

// Returns the time after which a rejected client may retry, us: when the target's queue has drained and its
// backoff is over, but at least the timer period and at most the settings' maximum. If no active target holds
// the data, or the endpoint lease has expired, the client must wait for the next endpoint update, so the
// maximum is returned.
Time RetryAfter(const SchedulerState& state, const RequestState& request);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_FINAL_RESPONSE_H_
