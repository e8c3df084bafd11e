#include "decision/expiry.h"

#include "decision/admission.h"

namespace walnutspur::decision {

std::vector<RequestRef> ExpiredRequests(const SchedulerState& state) {
  std::vector<RequestRef> expired;
  for (const auto& [shard, flows] : state.flows.shards()) {
    flows.ForEachQueued([&](const RequestRef& request) {
      if (!MayKeepWaiting(state, *request)) {
        expired.push_back(request);
      }
    });
  }
  for (const auto& [id, target] : state.endpoints.targets()) {
    for (const Attempt& attempt : target.attempts) {
      if (!attempt.request->finished && state.now >= attempt.request->deadline) {
        expired.push_back(attempt.request);
      }
    }
  }
  return expired;
}

}  // namespace walnutspur::decision
