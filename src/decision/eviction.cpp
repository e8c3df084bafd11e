#include "decision/eviction.h"

#include <algorithm>
#include <set>

namespace walnutspur::decision {
namespace {

constexpr Time kIdleTime = 30'000'000;  // us without a request until a flow or volume is removed

void EvictTargets(SchedulerState& state) {
  std::set<const TargetState*> holders;
  for (const auto& [shard, target] : state.shard_targets) {
    holders.insert(target);
  }
  std::erase_if(state.targets, [&](const auto& entry) {
    const TargetState& target = entry.second;
    return target.terminated && target.attempts.empty() && !holders.contains(&target);
  });
}

void EvictFlows(SchedulerState& state) {
  std::set<const Flow*> used;
  for (const auto& [id, request] : state.requests) {
    used.insert(request->flow);
  }
  for (const auto& [id, target] : state.targets) {
    for (const Attempt& attempt : target.attempts) {
      used.insert(attempt.request->flow);
    }
  }
  state.flows.EvictIdle(used, state.now - kIdleTime);
}

// After EvictFlows. A volume is kept until the bucket of its limit is full again.
void EvictVolumes(SchedulerState& state) {
  std::set<const Volume*> used;
  for (const auto& [shard, flows] : state.flows.shards()) {
    for (const auto& [number, flow] : flows.by_volume) {
      used.insert(flow.volume);
    }
  }
  std::erase_if(state.volumes, [&](const auto& entry) {
    const Volume& volume = entry.second;
    const Plan& plan = *volume.plan;
    const Time refill = plan.limit > 0 ? static_cast<Time>(plan.burst / plan.limit * kSecond) : 0;
    return !used.contains(&volume) && state.now - volume.last_arrival > std::max(kIdleTime, refill);
  });
}

void EvictKeys(SchedulerState& state) {
  for (auto& [key, chain] : state.key_chains) {
    chain.RemoveFinished();
  }
  std::erase_if(state.key_chains, [&](const auto& entry) {
    return entry.second.requests.empty() && entry.second.quarantined_until <= state.now;
  });
}

}  // namespace

void EvictIdle(SchedulerState& state) {
  EvictKeys(state);
  EvictTargets(state);
  EvictFlows(state);
  EvictVolumes(state);
}

}  // namespace walnutspur::decision
