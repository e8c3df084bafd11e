// Idempotency: implements the rule that no request takes effect twice.
//
// A request that may have run is sent again only if it is idempotent, or has an idempotency key and is sent
// to a target that still drops its repeats. Any other request that may have run is neither sent again nor
// rejected, since a rejection states to the client that it may repeat the request.
//
// Inputs: the request's class (idempotency, deduplication scope and window, us), its possible effect (send
// time, shard and zone of its first attempt that may have run), the time. Functions that read the
// SchedulerState. Called on the scheduler thread.
#ifndef WALNUTSPUR_DECISION_IDEMPOTENCY_H_
#define WALNUTSPUR_DECISION_IDEMPOTENCY_H_

#include "decision/state.h"

namespace walnutspur::decision {

// Returns whether an attempt at a target of this shard and zone cannot make the request take effect twice.
bool IsRepeatSafe(const SchedulerState& state, const RequestState& request, int shard, int zone);

// Returns whether a new attempt by the client, at any target, cannot make the request take effect twice.
bool IsRejectionSafe(const SchedulerState& state, const RequestState& request);

// Returns whether the request may have run and its repeats are dropped only within the deduplication scope
// and window of its class.
bool IsBoundToTarget(const SchedulerState& state, const RequestState& request);

// Returns the latest time at which an attempt may be written so that its target still drops it as a repeat.
Time DeduplicatedUntil(const SchedulerState& state, const RequestState& request);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_IDEMPOTENCY_H_
