#include "decision/accounts.h"

#include <algorithm>

namespace walnutspur::decision {
namespace {

// Capacity of a throttle's bucket as a time at its rate. Short, so that an idle flow gains little credit.
constexpr Duration kThrottleBurst = std::chrono::milliseconds(250);

// Returns this instance's fraction of a volume's reserve: all of it if targets report the use by others.
double ReserveFraction(const SchedulerState& state, const Volume& volume) {
  return state.settings.reports_remote_usage ? 1.0 : 1.0 / volume.initiator_count;
}

double ReserveCapacity(const SchedulerState& state, const Volume& volume) {
  const double rate = volume.plan->reserved_rate;
  return rate > 0 ? rate * ReserveFraction(state, volume) + state.settings.max_request_units : 0;
}

// Returns the credit that a new volume's limit starts with: what has accrued since this process started,
// since an earlier process of this instance may have spent the burst. Implements the rule "limits".
double InitialLimitCredit(const SchedulerState& state, const Volume& volume) {
  const double accrued = volume.plan->limit * state.Since(state.started_at) / kSecond;
  return std::min(volume.plan->burst, accrued) / volume.initiator_count;
}

}  // namespace

Volume& VolumeOf(SchedulerState& state, const RequestArrived& arrival) {
  Volume& volume = state.volumes.FindOrAdd(arrival.volume);
  const bool is_new = volume.plan == nullptr;
  const int last_plan = static_cast<int>(state.settings.plans.size()) - 1;
  volume.plan = &state.settings.plans[std::clamp(arrival.plan, 0, last_plan)];
  volume.initiator_count = std::max(1, arrival.initiator_count) * state.settings.processes;
  if (is_new) {
    volume.refilled_at = state.now;
    volume.reserve.tokens = ReserveCapacity(state, volume);
    volume.limit.tokens = InitialLimitCredit(state, volume);
  }
  return volume;
}

void Refill(const SchedulerState& state, Volume& volume) {
  const double seconds = state.Since(volume.refilled_at) / kSecond;
  const Plan& plan = *volume.plan;
  volume.refilled_at = state.now;
  volume.reserve.Refill(plan.reserved_rate * ReserveFraction(state, volume) * seconds,
                        ReserveCapacity(state, volume));
  volume.limit.Refill(plan.limit / volume.initiator_count * seconds, plan.burst / volume.initiator_count);
}

void Refill(const SchedulerState& state, Flow& flow) {
  if (flow.throttle > 0) {
    const double burst = flow.throttle * (kThrottleBurst / kSecond);
    const double capacity = std::max(state.settings.max_request_units, burst);
    flow.throttle_bucket.Refill(flow.throttle * state.Since(flow.refilled_at) / kSecond, capacity);
    flow.refilled_at = state.now;
  }
}

void ChargeRequest(SchedulerState& state, RequestState& request, bool is_reserved, double start_tag,
                   TargetState& target) {
  Flow& flow = *request.flow;
  Volume& volume = *flow.volume;
  if (is_reserved) {
    volume.reserve.tokens -= request.units;
  } else {
    target.virtual_clock.Advance(start_tag);
    flow.tag.Charge(start_tag, request.units, volume.plan->weight);
  }
  if (flow.throttle > 0) {
    flow.throttle_bucket.tokens -= request.units;
  }
  if (!request.limit_charged && volume.plan->limit > 0) {
    volume.limit.tokens -= request.units;
  }
  request.limit_charged = true;
  if (request.attempts > 0) {
    state.retry_budget.OnRetrySent(state.settings.rules, state.now);
  }
}

void ChargeRemoteUnits(const SchedulerState& state, Flow& flow, const TargetState& target, double units) {
  Volume& volume = *flow.volume;
  Refill(state, volume);
  const double reserved = std::clamp(volume.reserve.tokens, 0.0, units);
  volume.reserve.tokens -= reserved;
  flow.tag.Charge(flow.tag.StartTag(target.virtual_clock.time), units - reserved, volume.plan->weight);
}

}  // namespace walnutspur::decision
