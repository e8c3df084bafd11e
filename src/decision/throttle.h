// Control loop over the flows (SLEDS): once per interval, throttles flows that are above their plan's rate or
// meet their latency objective in favour of flows that miss theirs.
//
// A function that updates the SchedulerState. Called on the scheduler thread.
#ifndef WALNUTSPUR_DECISION_THROTTLE_H_
#define WALNUTSPUR_DECISION_THROTTLE_H_

#include "decision/state.h"

namespace walnutspur::decision {

// Ends an interval of `seconds`: averages the rates and adjusts the throttles of all flows.
void AdjustThrottles(SchedulerState& state, double seconds);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_THROTTLE_H_
