#include "decision/eviction.h"

#include <set>

namespace walnutspur::decision {
namespace {

// Time without a request after which a flow or volume is removed.
constexpr Time kIdleTime = ToTime(std::chrono::seconds(30));

void EvictFlows(SchedulerState& state) {
  std::set<const Flow*> in_use;
  state.requests.ForEach([&](const RequestState& request) { in_use.insert(request.flow); });
  for (const auto& [id, target] : state.endpoints.targets()) {
    for (const Attempt& attempt : target.attempts) {
      in_use.insert(attempt.request->flow);
    }
  }
  state.flows.EvictIdle(in_use, state.now - kIdleTime);
}

// Must be called after EvictFlows: a volume with a flow is in use.
void EvictVolumes(SchedulerState& state) {
  std::set<const Volume*> in_use;
  for (const auto& [shard, flows] : state.flows.shards()) {
    for (const auto& [number, flow] : flows.by_volume) {
      in_use.insert(flow.volume);
    }
  }
  state.volumes.EvictIdle(in_use, state.now, kIdleTime);
}

}  // namespace

void EvictIdle(SchedulerState& state) {
  state.key_order.EvictUnused(state.now);
  state.endpoints.EvictTerminated();
  EvictFlows(state);
  EvictVolumes(state);
}

}  // namespace walnutspur::decision
