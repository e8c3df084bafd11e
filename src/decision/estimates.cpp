#include "decision/estimates.h"

#include <algorithm>
#include <cmath>

#include "decision/accounts.h"
#include "decision/loss_detection.h"

namespace walnutspur::decision {
namespace {

// Minimum total demand, units per second. Prevents a division by zero if there is no demand.
constexpr double kMinDemand = 1e-9;

}  // namespace

Duration ExpectedQueueing(const SchedulerState& state, const TargetState& target) {
  // As the target's own estimate ages, the mean over all targets replaces it (fleet_latency.h).
  const Duration mean = state.fleet_latency.MeanQueueing(state.now);
  const double staleness = -std::expm1(-target.latency.SampleAge(state.now) / limits::kQueueingDecay);
  const Duration expected = std::max(target.latency.ExpectedQueueing(state.now), mean * staleness);
  for (const Attempt& attempt : target.attempts) {
    if (attempt.sent_at > target.latest_completed_send) {  // earlier attempts were overtaken: not queued
      return std::max(expected, state.Since(attempt.sent_at) - target.latency.ServiceTime(attempt.units));
    }
  }
  return expected;
}

void SampleStuckAttempts(const SchedulerState& state, Duration threshold, TargetState& target) {
  for (const Attempt& attempt : target.attempts) {
    const Duration service = target.latency.ServiceTime(attempt.units);
    const Duration queueing = state.Since(attempt.sent_at) - service;
    if (!IsPresumedLost(state, target, attempt) && queueing > threshold) {
      target.samples.Add(queueing, service);
    }
  }
}

void RecordService(SchedulerState& state, const RequestState& request, const AttemptFinished& result,
                   TargetState& target) {
  if (request.flow == nullptr) {
    return;
  }
  if (result.reported_usage > 0) {
    request.flow->volume->usage = (result.reported_usage - 1) / 100.0;
    request.flow->volume->usage_at = state.now;
  }
  if (result.units_served_elsewhere > 0) {
    ChargeRemoteUnits(state, *request.flow, target, result.units_served_elsewhere);
  }
  if (result.outcome == Outcome::kCompleted && !target.slow_start.IsActive(state.settings, state.now)) {
    target.steady_rate.Record(request.units, state.now);
  }
  if (result.outcome == Outcome::kTimedOut || result.outcome == Outcome::kConnectFailed) {
    target.steady_rate.Suspend(state.now);
  }
}

void RecordLatency(SchedulerState& state, const RequestState& request, const AttemptFinished& result,
                   TargetState& target) {
  const bool completed = result.outcome == Outcome::kCompleted;
  const bool queued =
      result.outcome == Outcome::kTimedOut && !IsPresumedLost(state, target, request.sent_at, request.units);
  if (!completed && !queued) {
    return;  // the latency of an error does not reflect the queue
  }
  const Duration queueing = target.latency.Record(result.latency, request.units, state.now);
  target.samples.Add(queueing, target.latency.ServiceTime(request.units));
  if (completed) {  // time-outs don't count for the fleet: those of a lost zone would slow all others
    target.latest_completed_send = std::max(target.latest_completed_send, request.sent_at);
    state.fleet_latency.OnCompleted(queueing, state.tightest_objective, state.now);
  }
  if (request.flow != nullptr) {
    request.flow->RecordLateness(state.now - request.arrived_at, state.ClassOf(request).latency_objective);
  }
}

void UpdateInterval(const SchedulerState& state, const ShardFlows& flows, TargetState& target) {
  target.reserved_rate = 0;
  for (const auto& [number, flow] : flows.by_volume) {
    target.reserved_rate += std::min(flow.demand.rate, flow.volume->plan->reserved_rate);
  }
  for (const Attempt& attempt : target.attempts) {
    const Time objective = state.ClassOf(*attempt.request).latency_objective;
    const Time age = state.now - attempt.request->arrived_at;
    if (age > objective) {
      attempt.request->flow->RecordLateness(age, objective);
    }
  }
}

double ServedRate(const SchedulerState& state) {
  double rate = 0;
  for (const auto& [shard, target] : state.endpoints.holders()) {
    rate += target->steady_rate.Rate(state.now, state.started_at);
  }
  return rate;
}

double DemandedRate(SchedulerState& state, const TargetState& target) {
  double demand_here = 0;
  for (const auto& [number, flow] : state.flows.Shard(target.shard).by_volume) {
    demand_here += flow.demand.CurrentDemand();
  }
  const double total_demand = state.volumes.SumPresentDemand(kMinDemand);
  return state.served_rate * demand_here / std::max(demand_here, total_demand);
}

}  // namespace walnutspur::decision
