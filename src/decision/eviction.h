// Eviction: removes idle entries from the tables, which would otherwise grow with each id ever received.
//
// A function that updates the SchedulerState. Called on the scheduler thread. It does not affect decisions on
// requests: a removed record contains no more information than a new one.
#ifndef WALNUTSPUR_DECISION_EVICTION_H_
#define WALNUTSPUR_DECISION_EVICTION_H_

#include "decision/state.h"

namespace walnutspur::decision {

// Removes the keys that no request has and that are not in quarantine, the targets that are terminated and
// have been replaced, and the flows and volumes that have had no request for a long time.
void EvictIdle(SchedulerState& state);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_EVICTION_H_
