// Idempotency: the rule that no effect takes place twice.
//
// A request that may have run is sent again only if it is idempotent, or has an idempotency key and goes to a
// target that still drops its repeats. A request of any other class that may have run is neither sent again
// nor rejected, since the client would take a rejection for leave to repeat it.
//
// Inputs: the request's class (idempotency, deduplication scope and window, us), its possible effect (send
// time, shard and zone of its first attempt that may have run), the time. Functions over the SchedulerState,
// called on its thread.
#ifndef WALNUTSPUR_DECISION_IDEMPOTENCY_H_
#define WALNUTSPUR_DECISION_IDEMPOTENCY_H_

#include "decision/state.h"

namespace walnutspur::decision {

// Whether an attempt at a target of this shard and zone cannot make the request's effect happen twice.
bool IsRepeatSafe(const SchedulerState& state, const RequestState& request, int shard, int zone);

// Whether a new attempt by the client, which may reach any target, cannot make it happen twice.
bool IsRejectionSafe(const SchedulerState& state, const RequestState& request);

// Whether the request may have run and its repeats are dropped only by the targets and until the time that
// its class states.
bool IsBoundToTarget(const SchedulerState& state, const RequestState& request);

// Time until which an attempt may be written so that its target still drops it as a repeat.
Time DeduplicatedUntil(const SchedulerState& state, const RequestState& request);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_IDEMPOTENCY_H_
