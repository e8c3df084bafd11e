// Key order: of the requests that carry one key, in classes that call for it, one is sent at a time.
//
// Functions over the SchedulerState, called on its thread.
#ifndef WALNUTSPUR_DECISION_KEY_ORDER_H_
#define WALNUTSPUR_DECISION_KEY_ORDER_H_

#include "decision/state.h"

namespace walnutspur::decision {

// Whether a request may be sent: it is the first of its key, and a first attempt is past the key's
// quarantine.
bool IsKeyFree(SchedulerState& state, const RequestState& request);

// Starts the key's quarantine if an attempt with this outcome may still be running.
void QuarantineKey(SchedulerState& state, const RequestState& request, Outcome outcome);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_KEY_ORDER_H_
