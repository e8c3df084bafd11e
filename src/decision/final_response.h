// Final response: how a request ends that is not served.
//
// It is rejected, with a Retry-After where the settings provide for it, if a new attempt by the client is
// safe (idempotency.h). Otherwise it fails: whether it was executed is unknown. A function over the
// SchedulerState, called on its thread.
#ifndef WALNUTSPUR_DECISION_FINAL_RESPONSE_H_
#define WALNUTSPUR_DECISION_FINAL_RESPONSE_H_

#include "decision/state.h"

namespace walnutspur::decision {

// Emits the rejection or the failure of a request.
void Respond(SchedulerState& state, const RequestState& request);

// Time after which a rejected client may retry, us: once the target's queue has drained and its backoff is
// over, but at least a timer's period and at most the settings' limit. Where no target holds the data, or the
// endpoint lease has expired, the client has to wait for the next endpoint update, so it is the limit.
Time RetryAfter(const SchedulerState& state, const RequestState& request);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_FINAL_RESPONSE_H_
