// Control loop over the flows (SLEDS): once an interval, flows that can best afford it are throttled in
// favour of those that miss their latency objective.
//
// Functions over the SchedulerState, called on its thread.
#ifndef WALNUTSPUR_DECISION_THROTTLE_H_
#define WALNUTSPUR_DECISION_THROTTLE_H_

#include "decision/state.h"

namespace walnutspur::decision {

// Ends an interval of `seconds`: averages the rates and adjusts the throttle of every flow.
void AdjustThrottles(SchedulerState& state, double seconds);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_THROTTLE_H_
