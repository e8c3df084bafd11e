#include "decision/eviction.h"

#include <algorithm>
#include <set>
#include <vector>

namespace walnutspur::decision {
namespace {

// Time without a request after which a flow or volume is removed.
constexpr Time kIdleTime = ToTime(std::chrono::seconds(30));

// Fraction of a full table that is removed at once, so that the search pays.
constexpr std::size_t kEvictionDivisor = 8;

std::set<const Flow*> FlowsInUse(const SchedulerState& state) {
  std::set<const Flow*> in_use;
  state.requests.ForEach([&](const RequestState& request) { in_use.insert(request.flow); });
  for (const auto& [id, target] : state.endpoints.targets()) {
    for (const Attempt& attempt : target.attempts) {
      in_use.insert(attempt.request->flow);
    }
  }
  return in_use;
}

// Removes volumes that have no flow.
void EvictVolumes(SchedulerState& state, Time idle_time) {
  std::set<const Volume*> in_use;
  for (const auto& [shard, flows] : state.flows.shards()) {
    for (const auto& [number, flow] : flows.by_volume) {
      in_use.insert(flow.volume);
    }
  }
  state.volumes.EvictIdle(in_use, state.now, idle_time);
}

// Removes the flows that have been idle for the longest time, and the volumes that remain without one.
void EvictLeastRecent(SchedulerState& state) {
  const std::set<const Flow*> in_use = FlowsInUse(state);
  std::vector<Time> arrivals;
  for (const auto& [shard, flows] : state.flows.shards()) {
    for (const auto& [number, flow] : flows.by_volume) {
      if (!in_use.contains(&flow)) {
        arrivals.push_back(flow.last_arrival);
      }
    }
  }
  if (!arrivals.empty()) {
    const std::size_t evicted =
        std::min(arrivals.size() - 1, state.settings.tables.max_flows / kEvictionDivisor);
    const auto last = arrivals.begin() + static_cast<std::ptrdiff_t>(evicted);
    std::nth_element(arrivals.begin(), last, arrivals.end());
    state.flows.EvictIdle(in_use, *last + 1);
  }
  EvictVolumes(state, 0);
}

bool HasRoomForFlow(const SchedulerState& state, const std::string& volume_name, int shard) {
  const std::size_t max_flows = state.settings.tables.max_flows;
  const Volume* volume = state.volumes.Find(volume_name);
  if (volume != nullptr && state.flows.Contains(shard, volume->number)) {
    return true;
  }
  const bool has_volume = volume != nullptr || state.volumes.size() < max_flows;
  return has_volume && state.flows.flow_count() < max_flows;
}

bool HasRoomForKey(const SchedulerState& state, const RequestState& request) {
  return !state.IsOrdered(request) || state.key_order.Contains(request.key) ||
         state.key_order.size() < state.settings.tables.max_flows;
}

}  // namespace

void EvictIdle(SchedulerState& state) {
  state.key_order.EvictUnused(state.now);
  state.endpoints.EvictTerminated();
  state.flows.EvictIdle(FlowsInUse(state), state.now - kIdleTime);
  EvictVolumes(state, kIdleTime);
}

// A full table is searched once per timer period, so that clients that use ever new names do not make each
// request expensive.
bool MakeRoom(SchedulerState& state, const RequestState& request, const std::string& volume_name, int shard) {
  const auto has_room = [&] {
    return HasRoomForFlow(state, volume_name, shard) && HasRoomForKey(state, request);
  };
  if (has_room()) {
    return true;
  }
  if (state.now < state.next_eviction_at) {
    return false;
  }
  state.next_eviction_at = state.now + kTimerPeriod;
  state.key_order.EvictUnused(state.now);
  EvictLeastRecent(state);
  return has_room();
}

}  // namespace walnutspur::decision
