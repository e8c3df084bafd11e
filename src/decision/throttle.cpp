#include "decision/throttle.h"

#include <algorithm>

#include "decision/accounts.h"
#include "decision/estimates.h"

namespace walnutspur::decision {
namespace {

// Lower bound of a throttle, as a multiple of the plan's reserved rate or, without a reserve, its fair share.
// The value is that of the SLEDS paper.
constexpr double kPlanRateMargin = 1.05;
// Factor by which a throttle is tightened per interval: three intervals halve a rate.
constexpr double kTightenFactor = 0.8;
// Factor by which a throttle is loosened per interval, more slowly than it is tightened.
constexpr double kLoosenFactor = 1.15;
// A throttle is removed when it exceeds this multiple of the flow's demand and of the plan's rate.
constexpr double kReleaseFactor = 3.0;
// Minimum throttle, units per second.
constexpr double kMinThrottle = 0.01;
// Time for which a usage report of a volume is valid.
constexpr Time kUsageLifetime = ToTime(std::chrono::seconds(4));

// The flows of a shard that had responses in the interval, grouped by rate and lateness.
struct FlowGroups {
  std::vector<Flow*> above_met;      // above their plan's rate, meeting their latency objective
  std::vector<Flow*> above_missed;   // above their plan's rate, missing their latency objective
  std::vector<Flow*> within_met;     // within their plan's rate, meeting their latency objective
  std::vector<Flow*> within_missed;  // within their plan's rate, missing their latency objective

  // Returns the flows to throttle, or null. If all flows miss their objective and none is above its plan's
  // rate, the target is slow and throttling would not help.
  const std::vector<Flow*>* ToThrottle() const {
    const bool slow_target = above_met.empty() && above_missed.empty() && within_met.empty();
    if (within_missed.empty() || slow_target) {
      return nullptr;
    }
    if (!above_met.empty()) {
      return &above_met;
    }
    return !above_missed.empty() ? &above_missed : &within_met;
  }
};

bool IsAboveRate(const SchedulerState& state, const Volume& volume) {
  if (volume.usage_at >= 0 && state.now - volume.usage_at < kUsageLifetime) {
    return volume.usage > 1;
  }
  return volume.demand.rate > volume.plan->rate / volume.initiator_count;
}

FlowGroups EndInterval(const SchedulerState& state, ShardFlows& flows, double seconds) {
  FlowGroups groups;
  for (auto& [number, flow] : flows.by_volume) {
    flow.demand.EndInterval(seconds);
    if (flow.samples > 0) {
      const bool missed = flow.lateness / flow.samples > 1;
      auto& above = missed ? groups.above_missed : groups.above_met;
      auto& within = missed ? groups.within_missed : groups.within_met;
      (IsAboveRate(state, *flow.volume) ? above : within).push_back(&flow);
    }
    flow.lateness = 0;
    flow.samples = 0;
  }
  return groups;
}

void Tighten(const SchedulerState& state, Flow& flow) {
  const Volume& volume = *flow.volume;
  const double rate = flow.demand.rate;
  const double fraction = volume.demand.rate > 0 ? std::min(1.0, rate / volume.demand.rate) : 1.0;
  const double plan_rate = volume.plan->reserved_rate > 0 ? volume.plan->reserved_rate : volume.plan->rate;
  const double current = flow.throttle > 0 ? std::min(flow.throttle, rate) : rate;
  if (flow.throttle <= 0) {
    flow.refilled_at = state.now;
    flow.throttle_bucket.tokens = 0;
  }
  flow.throttle = std::max({plan_rate * kPlanRateMargin * fraction, kTightenFactor * current, kMinThrottle});
}

void Loosen(const SchedulerState& state, Flow& flow) {
  if (flow.throttle > 0) {
    Refill(state, flow);
    flow.throttle *= kLoosenFactor;
    if (flow.throttle > kReleaseFactor * std::max(flow.demand.rate, flow.volume->plan->rate)) {
      flow.throttle = 0;
    }
  }
}

void AdjustShard(const SchedulerState& state, ShardFlows& flows, double seconds) {
  const FlowGroups groups = EndInterval(state, flows, seconds);
  for (Flow* flow : groups.within_missed) {
    flow->throttle = 0;
  }
  if (const std::vector<Flow*>* throttled = groups.ToThrottle()) {
    for (Flow* flow : *throttled) {
      Tighten(state, *flow);
    }
  } else {
    for (auto& [number, flow] : flows.by_volume) {
      Loosen(state, flow);
    }
  }
}

}  // namespace

void AdjustThrottles(SchedulerState& state, double seconds) {
  state.volumes.EndInterval(seconds);
  for (auto& [shard, flows] : state.flows.shards()) {
    if (TargetState* target = state.endpoints.ActiveTarget(shard)) {
      UpdateInterval(state, flows, *target);
    }
    AdjustShard(state, flows, seconds);
  }
}

}  // namespace walnutspur::decision
