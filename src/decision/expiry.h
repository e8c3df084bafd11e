// Expiry: which requests get their final response at a timer, since waiting on is of no use.
//
// A function over the SchedulerState, called on its thread.
#ifndef WALNUTSPUR_DECISION_EXPIRY_H_
#define WALNUTSPUR_DECISION_EXPIRY_H_

#include <vector>

#include "decision/state.h"

namespace walnutspur::decision {

// Queued requests that may not go on waiting (MayKeepWaiting), in the order of shards, volumes, classes and
// queue positions, then those in flight whose deadline has passed, in the order of targets and sends.
std::vector<RequestRef> ExpiredRequests(const SchedulerState& state);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_EXPIRY_H_
