// Attempts in flight: the attempts that occupy a target, including ended ones that may still occupy it.
//
// Functions that read the SchedulerState and update a target's attempts. Called on the scheduler thread.
#ifndef WALNUTSPUR_DECISION_IN_FLIGHT_H_
#define WALNUTSPUR_DECISION_IN_FLIGHT_H_

#include <cstddef>

#include "decision/state.h"

namespace walnutspur::decision {

// Returns the units of the attempts that occupy the target. Attempts presumed lost do not occupy it.
double UnitsInFlight(const SchedulerState& state, const TargetState& target);

// Returns the number of attempts that occupy the target.
std::size_t AttemptsInFlight(const SchedulerState& state, const TargetState& target);

// Ends an attempt and removes it from the target's attempts. The target may still execute an attempt that was
// cancelled or has timed out, so such an attempt is presumed in flight for a multiple of its age. Otherwise
// targets that hang, or whose clients disconnect, would look idle, and many instances would refill a queue
// whose responses no client waits for.
void EndAttempt(const SchedulerState& state, const RequestState& request, Outcome outcome,
                TargetState& target);

// Removes the ended attempts that are no longer presumed in flight.
void RemoveEndedAttempts(const SchedulerState& state, TargetState& target);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_IN_FLIGHT_H_
