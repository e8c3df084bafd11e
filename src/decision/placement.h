// Placement: chooses the target that stores a new object.
//
// A function that reads and updates the SchedulerState. Called on the scheduler thread.
#ifndef WALNUTSPUR_DECISION_PLACEMENT_H_
#define WALNUTSPUR_DECISION_PLACEMENT_H_

#include "decision/state.h"

namespace walnutspur::decision {

// Returns the shard for a new object: the one whose active target is expected to be the first to complete the
// request and the reads that follow it. Returns -1 if no target accepts new objects.
int PlaceNewObject(SchedulerState& state, const RequestState& request);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_PLACEMENT_H_
