// Concurrency limits: how many units may be in flight at each target, adapted to latency.
//
// Functions over the SchedulerState, called on its thread.
#ifndef WALNUTSPUR_DECISION_CONCURRENCY_LIMIT_H_
#define WALNUTSPUR_DECISION_CONCURRENCY_LIMIT_H_

#include "decision/state.h"

namespace walnutspur::decision {

// Limits of a target that nothing is known of. All instances may start at once.
ConcurrencyLimits InitialConcurrencyLimits(const Settings& settings);

// After an overload or a failed connect, sends nothing to the target for a time that doubles with each in
// turn, and halves the limits of an overloaded one.
void BackOff(const SchedulerState& state, Outcome outcome, TargetState& target);

// Ends an adjustment interval: raises or lowers all limits by the latencies since the last one.
void AdjustConcurrencyLimits(SchedulerState& state);

// Whether a request may be sent to the target now, given whether its volume's reserve covers it and whether
// it is likely to miss its objective.
bool HasRoom(SchedulerState& state, TargetState& target, const RequestState& request, bool is_reserved,
             bool is_late);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_CONCURRENCY_LIMIT_H_
