// Expiry: selects the requests that get their final response at a timer because further waiting is useless.
//
// A function that reads the SchedulerState. Called on the scheduler thread.
#ifndef WALNUTSPUR_DECISION_EXPIRY_H_
#define WALNUTSPUR_DECISION_EXPIRY_H_

#include <vector>

#include "decision/state.h"

namespace walnutspur::decision {

// Returns the queued requests that may not keep waiting (MayKeepWaiting), in the order of shards, volumes,
// classes and queue positions, then the requests in flight whose deadline has expired, in the order of
// targets and sends.
std::vector<RequestRef> ExpiredRequests(const SchedulerState& state);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_EXPIRY_H_
