// Concurrency limits: how many units may be in flight at each target, adapted to latency.
//
// Functions over the SchedulerState, called on its thread.
#ifndef WALNUTSPUR_DECISION_CONCURRENCY_LIMIT_H_
#define WALNUTSPUR_DECISION_CONCURRENCY_LIMIT_H_

#include "decision/state.h"

namespace walnutspur::decision {

// Limits of a target without any samples. All instances may start at once.
limits::AdaptiveLimits InitialConcurrencyLimits(const Settings& settings);

// Ends an adjustment interval: removes attempts that are no longer presumed in flight, counts stuck ones as
// samples, raises or lowers all limits by the latencies since the last interval, and updates the rate served
// to this instance.
void AdjustConcurrencyLimits(SchedulerState& state);

// An attempt was rejected since the target is overloaded: halves its limits and expects its queue to take at
// least the tightest objective to drain.
void OnTargetOverloaded(const SchedulerState& state, TargetState& target);

// Whether a request may be sent to the target now. `is_reserved`: the reserve of its volume covers it, so
// that the limit inside reserves applies; `misses_objective`: it is likely to miss its objective, and so
// takes only capacity that nothing else uses. An attempt that explores a stuck target is allowed beyond the
// limit.
bool HasCapacity(const SchedulerState& state, const TargetState& target, const RequestState& request,
                 bool is_reserved, bool misses_objective);

// Records that a limit has held a request back. Limits that are never binding do not grow.
void MarkLimitBinding(SchedulerState& state, TargetState& target, bool is_reserved);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_CONCURRENCY_LIMIT_H_
