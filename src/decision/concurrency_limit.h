// Concurrency limits: bounds the units in flight at each target and adapts the bounds to latency.
//
// Functions that read and update the SchedulerState. Called on the scheduler thread.
#ifndef WALNUTSPUR_DECISION_CONCURRENCY_LIMIT_H_
#define WALNUTSPUR_DECISION_CONCURRENCY_LIMIT_H_

#include "decision/state.h"

namespace walnutspur::decision {

// Returns the limits of a target without samples. They are small since all instances may start at once.
limits::AdaptiveLimits InitialConcurrencyLimits(const Settings& settings);

// Ends an adjustment interval: removes attempts that are no longer presumed in flight, adds samples for stuck
// attempts, raises or lowers all limits according to the latencies since the last interval, and updates the
// rate served to this instance.
void AdjustConcurrencyLimits(SchedulerState& state);

// Handles an attempt that was rejected because the target is overloaded: halves the target's limits and
// assumes that its queue takes at least the tightest objective to drain.
void OnTargetOverloaded(const SchedulerState& state, TargetState& target);

// Returns whether the target has capacity for a request now. `is_reserved`: the reserve of the request's
// volume covers it, so the limit for reserved work applies. `misses_objective`: the request is expected to
// miss its objective, so it gets only capacity that no other request uses. An attempt that explores a stuck
// target is allowed beyond the limit.
bool HasCapacity(const SchedulerState& state, const TargetState& target, const RequestState& request,
                 bool is_reserved, bool misses_objective);

// Records that a limit has delayed a request. Limits that are never binding do not grow.
void MarkLimitBinding(SchedulerState& state, TargetState& target, bool is_reserved);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_CONCURRENCY_LIMIT_H_
