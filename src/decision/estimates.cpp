#include "decision/estimates.h"

#include <algorithm>
#include <cmath>

#include "decision/accounts.h"

namespace walnutspur::decision {
namespace {

constexpr double kFleetDecay = 2e6;      // us over which responses of all targets are averaged
constexpr double kLostServiceTimes = 4;  // its own service times by which a lost attempt is overtaken, plus
constexpr double kLostObjectivePart = 0.25;  // this part of the tightest latency objective
constexpr double kLingerAges = 3;            // times its age that an attempt without a response lingers

// Rate of arrivals including those of the interval in progress.
template <typename Item>
double PresentDemand(const Item& item) {
  return item.demand.rate + item.demand.units / 2;
}

}  // namespace

double ExpectedQueueing(const SchedulerState& state, const TargetState& target) {
  // Of many instances each seldom uses a target, and targets are congested together: as the target's own
  // estimate ages, the mean over all targets takes its place.
  const double mean = state.fleet_queueing.Now(state.now, kFleetDecay) /
                      (1 + state.fleet_responses.Now(state.now, kFleetDecay));
  const double staleness = -std::expm1(-target.latency.Age(state.now) / limits::kQueueingDecay);
  const double expected = std::max(target.latency.ExpectedQueueing(state.now), mean * staleness);
  for (const Attempt& attempt : target.attempts) {
    if (attempt.sent_at > target.latest_completed_send) {  // earlier ones were overtaken and do not queue
      return std::max(expected, state.Since(attempt.sent_at) - target.latency.ServiceTime(attempt.units));
    }
  }
  return expected;
}

bool IsLost(const SchedulerState& state, const Attempt& attempt, const TargetState& target) {
  const auto overtaken_by = static_cast<double>(target.latest_completed_send - attempt.sent_at);
  return overtaken_by > kLostServiceTimes * attempt.units * target.latency.unit_time() +
                            kLostObjectivePart * state.tightest_objective;
}

double UnitsInFlight(const SchedulerState& state, const TargetState& target) {
  double units = 0;
  for (const Attempt& attempt : target.attempts) {
    units += IsLost(state, attempt, target) ? 0 : attempt.units;
  }
  return units;
}

std::size_t AttemptsInFlight(const SchedulerState& state, const TargetState& target) {
  std::size_t count = 0;
  for (const Attempt& attempt : target.attempts) {
    count += IsLost(state, attempt, target) ? 0 : 1;
  }
  return count;
}

void EndAttempt(const SchedulerState& state, const RequestState& request, Outcome outcome,
                TargetState& target) {
  const auto ended =
      std::find_if(target.attempts.begin(), target.attempts.end(), [&](const Attempt& attempt) {
        return attempt.request.get() == &request && attempt.lingers_until == 0;
      });
  if (ended == target.attempts.end()) {
    return;
  }
  const bool may_run_on = outcome == Outcome::kTimedOut || outcome == Outcome::kCancelled;
  if (may_run_on && !IsLost(state, *ended, target)) {
    ended->lingers_until = state.now + static_cast<Time>(kLingerAges * state.Since(ended->sent_at)) + 1;
  } else {
    target.attempts.erase(ended);
  }
  RemoveEndedAttempts(state, target);
}

void RemoveEndedAttempts(const SchedulerState& state, TargetState& target) {
  std::erase_if(target.attempts, [&](const Attempt& attempt) {
    return attempt.lingers_until > 0 &&
           (state.now >= attempt.lingers_until || IsLost(state, attempt, target));
  });
}

void SampleStuckAttempts(const SchedulerState& state, double threshold, TargetState& target) {
  for (const Attempt& attempt : target.attempts) {
    const double service = target.latency.ServiceTime(attempt.units);
    const double queueing = state.Since(attempt.sent_at) - service;
    if (!IsLost(state, attempt, target) && queueing > threshold) {
      target.samples.Add(queueing, service);
    }
  }
}

void RecordHealth(SchedulerState& state, Outcome outcome, TargetState& target) {
  const bool completed = outcome == Outcome::kCompleted;
  const bool responded = completed || outcome == Outcome::kErrored;
  if (responded || outcome == Outcome::kTimedOut || outcome == Outcome::kConnectFailed) {
    target.outcomes.Record(!completed, state.now);
    state.zone_outcomes[target.zone].Record(!responded, state.now);
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
  const bool queued = result.outcome == Outcome::kTimedOut &&
                      !IsLost(state, {nullptr, request.sent_at, request.units}, target);
  if (!completed && !queued) {
    return;  // the latency of an error says nothing of the queue
  }
  const double queueing = target.latency.Record(result.latency, request.units, state.now);
  target.samples.Add(queueing, target.latency.ServiceTime(request.units));
  if (completed) {  // only these count for all targets: time-outs of a lost zone would hold back the others
    target.latest_completed_send = std::max(target.latest_completed_send, request.sent_at);
    state.fleet_queueing.Add(std::min(queueing, state.tightest_objective), state.now, kFleetDecay);
    state.fleet_responses.Add(1, state.now, kFleetDecay);
    state.fleet_samples.Add(queueing, 0);
  }
  if (request.flow != nullptr) {
    request.flow->RecordLateness(state.now - request.arrived_at, state.ClassOf(request).latency_objective);
  }
}

void RecordClientWait(SchedulerState& state, const RequestState& request, bool disconnected) {
  // Clients that announce a short wait, or disconnect after the objective, say nothing of the others.
  const Time objective = state.ClassOf(request).latency_objective;
  const double age = state.Since(request.arrived_at) / static_cast<double>(objective);
  const bool waits_long = request.deadline - request.arrived_at >= objective;
  if (!request.finished && (!disconnected || age < 1) && waits_long) {
    state.abandonment.Record(age, disconnected, state.now);
  }
}

void MeasureInterval(const SchedulerState& state, const ShardFlows& flows, TargetState& target) {
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
  for (const auto& [shard, target] : state.shard_targets) {
    rate += target->steady_rate.Rate(state.now, state.started_at);
  }
  return rate;
}

double DemandedRate(SchedulerState& state, const TargetState& target) {
  double here = 0;
  double total = 1e-9;
  for (const auto& [number, flow] : state.flows.Shard(target.shard).by_volume) {
    here += PresentDemand(flow);
  }
  for (const auto& [name, volume] : state.volumes) {
    total += PresentDemand(volume);
  }
  return state.served_rate * here / std::max(here, total);
}

}  // namespace walnutspur::decision
