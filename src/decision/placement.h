// Placement: which target gets a new object.
//
// A function over the SchedulerState, called on its thread.
#ifndef WALNUTSPUR_DECISION_PLACEMENT_H_
#define WALNUTSPUR_DECISION_PLACEMENT_H_

#include "decision/state.h"

namespace walnutspur::decision {

// Chooses the shard for a new object: the one whose active target is likely to be done first with it and with
// the reads that follow it. -1: no target accepts new objects.
int PlaceNewObject(SchedulerState& state, const RequestState& request);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_PLACEMENT_H_
