// Eviction: keeps the tables from growing with each id ever seen.
//
// A function over the SchedulerState, called on its thread. It decides nothing of requests: what is removed
// says no more than a fresh record would.
#ifndef WALNUTSPUR_DECISION_EVICTION_H_
#define WALNUTSPUR_DECISION_EVICTION_H_

#include "decision/state.h"

namespace walnutspur::decision {

// Removes the keys that no request carries and that are in no quarantine, the targets that are terminated and
// have been replaced, and the flows and volumes without a request for a long time.
void EvictIdle(SchedulerState& state);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_EVICTION_H_
