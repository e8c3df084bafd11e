// Eviction: removes idle entries from the tables, which would otherwise grow with each id ever received.
//
// Functions that update the SchedulerState. Called on the scheduler thread. EvictIdle does not affect
// decisions on requests: a removed record contains no more information than a new one. MakeRoom may remove a
// throttle.
#ifndef WALNUTSPUR_DECISION_EVICTION_H_
#define WALNUTSPUR_DECISION_EVICTION_H_

#include <string>

#include "decision/state.h"

namespace walnutspur::decision {

// Removes the keys that no request has and that are not in quarantine, the targets that are terminated and
// have been replaced, and the flows and volumes that have had no request for a long time.
void EvictIdle(SchedulerState& state);

// Returns whether the tables have room for a request that has just arrived for a volume and shard, after
// removing the entries that have been idle for the longest time if they are full. Entries in use, and volumes
// whose limit has not had time to fill, are kept.
bool MakeRoom(SchedulerState& state, const RequestState& request, const std::string& volume_name, int shard);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_EVICTION_H_
