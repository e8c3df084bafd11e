// Attempts in flight: which attempts occupy a target, and until when those that have ended still do.
//
// Functions over the SchedulerState, called on its thread.
#ifndef WALNUTSPUR_DECISION_IN_FLIGHT_H_
#define WALNUTSPUR_DECISION_IN_FLIGHT_H_

#include <cstddef>

#include "decision/state.h"

namespace walnutspur::decision {

// Units of the attempts that occupy the target. Those that are presumed lost do not.
double UnitsInFlight(const SchedulerState& state, const TargetState& target);

// Number of attempts that occupy the target.
std::size_t AttemptsInFlight(const SchedulerState& state, const TargetState& target);

// Takes an attempt that has ended out of the target's attempts. Work that was cancelled or has timed out may
// still be done, so such an attempt is presumed in flight for a multiple of its age: otherwise targets that
// hang or whose clients disconnect would look idle, and many instances would refill a queue whose responses
// no client awaits.
void EndAttempt(const SchedulerState& state, const RequestState& request, Outcome outcome,
                TargetState& target);

// Removes the ended attempts that are no longer presumed in flight.
void RemoveEndedAttempts(const SchedulerState& state, TargetState& target);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_IN_FLIGHT_H_
