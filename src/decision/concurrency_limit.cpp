#include "decision/concurrency_limit.h"

#include <algorithm>
#include <cmath>

#include "decision/estimates.h"
#include "decision/in_flight.h"

namespace walnutspur::decision {
namespace {

using limits::AdaptiveLimit;
using limits::AdaptiveLimits;
using limits::LatencySamples;

// Fraction of the tightest objective that the queueing delay may take.
constexpr double kQueueingFraction = 0.08;
// That fraction for reserved work, which earns the full weight.
constexpr double kReservedQueueingFraction = 0.3;
// That fraction if the limit is below one mean request. It is larger because queueing and uneven service
// cannot be distinguished when there is one response at a time.
constexpr double kPacedQueueingFraction = 0.2;
// Number of service times by which a response of a paced target may be slower without any queueing.
constexpr double kServiceVariation = 2;
// Fraction of the difference to the desired limit that one adjustment applies.
constexpr double kAdjustmentGain = 0.4;
// Lower bound of the pressure used in an adjustment: bounds the growth of a limit.
constexpr double kMinPressure = 0.5;
// Upward drift of a limit per adjustment, in mean requests. It makes the limits of instances converge.
constexpr double kDriftRequests = 0.5;
// Number of instances above which they share the drift. If each of hundreds of instances added a fraction of
// its own limit, the limits would settle where the queueing delay is well above the allowed one.
constexpr double kMaxDriftingInstances = 5;
// Limit of a target without samples, in mean requests.
constexpr double kInitialRequests = 3;
// Largest limit, in mean requests: above it, latency no longer guides the limit.
constexpr double kMaxRequests = 64;
// Smallest limit, in mean requests.
constexpr double kMinRequests = 0.05;
// Number of instances above which they share the smallest limit.
constexpr double kMaxPacingInstances = 200;
// The reserved work that arrives in this time may always be in flight.
constexpr Duration kReservedSpan = std::chrono::seconds(2);
// Factor by which an overload lowers the limits.
constexpr double kOverloadFactor = 0.5;
// Time without a send after which a stuck target is explored: this fraction of the tightest objective, plus
// this many of the target's queueing delays, doubled for each attempt in flight after the first, up to a
// maximum number of doublings.
constexpr double kExplorationObjectiveFraction = 0.8;
constexpr double kExplorationQueueingDelays = 4;
constexpr double kMaxExplorationDoublings = 10;

// Adjusts a limit once. `min_units` is its lower bound in addition to that of pacing; `pressure` is the
// queueing delay divided by the allowed one.
void Adjust(const Settings& settings, double min_units, double pressure, AdaptiveLimit& limit) {
  const double drift_share = std::min(1.0, kMaxDriftingInstances / settings.instances);
  const double drift = kDriftRequests * std::min(limit.units, settings.mean_request_units * drift_share);
  const double desired_units = limit.units / std::max(kMinPressure, pressure) + drift;
  if (desired_units < limit.units || limit.was_binding) {
    limit.units += kAdjustmentGain * (desired_units - limit.units);
  }
  const double pacing_requests = kMinRequests * std::min(1.0, kMaxPacingInstances / settings.instances);
  const double lower_bound = std::max(min_units, pacing_requests * settings.mean_request_units);
  limit.units = std::clamp(limit.units, lower_bound, kMaxRequests * settings.mean_request_units);
  limit.was_binding = false;
}

// Adjusts both limits according to `samples`, which must not be empty.
void AdjustBoth(const SchedulerState& state, const LatencySamples& samples, double min_reserved_units,
                AdaptiveLimits& limits) {
  const Duration objective = state.tightest_objective * state.client_wait.fraction();
  const Duration queueing = samples.queueing / samples.count;
  const double variation = kServiceVariation * (samples.service / samples.count) / objective;
  const bool is_paced = limits.shared.units <= state.settings.mean_request_units;
  const double allowed = is_paced ? kPacedQueueingFraction + variation : kQueueingFraction;
  Adjust(state.settings, 0, queueing / objective / allowed, limits.shared);
  Adjust(state.settings, min_reserved_units, queueing / objective / kReservedQueueingFraction,
         limits.reserved);
}

// Returns the time after the last send to a stuck target until one more attempt explores it. The time is
// longer if responses were slow before, and long enough that all instances together send at most one
// exploratory attempt at a time: more would keep a slow target congested by themselves.
Duration ExplorationGap(const SchedulerState& state, const TargetState& target) {
  const double others_in_flight = static_cast<double>(AttemptsInFlight(state, target)) - 1;
  const double doublings = std::clamp(others_in_flight, 0.0, kMaxExplorationDoublings);
  const Duration base = kExplorationObjectiveFraction * state.tightest_objective +
                        kExplorationQueueingDelays * target.latency.queueing();
  const Duration one_attempt_of_all =
      state.settings.instances * state.settings.mean_request_units * target.latency.unit_time();
  return std::max(base * std::exp2(doublings), one_attempt_of_all);
}

// Returns whether an exploratory attempt is due. Only such an attempt can show that a stuck target responds
// again, or that its earlier attempts were lost.
bool MayExplore(const SchedulerState& state, const TargetState& target, double units_in_flight) {
  return units_in_flight > 0 && state.Since(target.last_send) > ExplorationGap(state, target);
}

// Returns whether other work uses the target, or may use it: a target may only look idle if its estimate is
// stale.
bool IsInUse(const SchedulerState& state, const TargetState& target, double units_in_flight) {
  const Duration allowed = kQueueingFraction * state.client_wait.fraction() * state.tightest_objective;
  return units_in_flight > 0 || target.latency.IsStale(state.now) ||
         ExpectedQueueing(state, target) > allowed;
}

// Returns the limit that applies now, in units: the target's limit, or the smaller of the target's and the
// fleet's if the target's estimate is stale.
double PresentLimit(const SchedulerState& state, const TargetState& target, bool is_reserved) {
  const double units = target.limits.Select(is_reserved).units;
  if (!target.latency.IsStale(state.now)) {
    return units;
  }
  return std::min(units, state.fleet_latency.limits().Select(is_reserved).units);
}

// Returns whether the limit covers the request. An idle target may be sent a request larger than its limit,
// but paced so that the mean stays within the limit: one request in flight from each of hundreds of instances
// would be too much.
bool IsWithinLimit(const SchedulerState& state, const TargetState& target, const RequestState& request,
                   double units_in_flight, bool is_reserved) {
  const double limit = PresentLimit(state, target, is_reserved);
  if (units_in_flight > 0) {
    return units_in_flight + request.units <= limit;
  }
  const Duration response_time = target.latency.ServiceTime(request.units) + target.latency.queueing();
  const Duration pacing_gap = (request.units / limit - 1) * response_time;
  return state.Since(target.last_send) >= pacing_gap;
}

}  // namespace

AdaptiveLimits InitialConcurrencyLimits(const Settings& settings) {
  const AdaptiveLimit initial{kInitialRequests * settings.mean_request_units};
  return {initial, initial};
}

void OnTargetOverloaded(const SchedulerState& state, TargetState& target) {
  const Duration drain_time = std::max(ExpectedQueueing(state, target), state.tightest_objective);
  target.latency.SetQueueing(drain_time, state.now);
  const double min_units = kMinRequests * state.settings.mean_request_units;
  for (AdaptiveLimit* limit : {&target.limits.shared, &target.limits.reserved}) {
    limit->units = std::max(min_units, limit->units * kOverloadFactor);
  }
}

void AdjustConcurrencyLimits(SchedulerState& state) {
  state.served_rate = ServedRate(state);
  for (auto& [id, target] : state.endpoints.targets()) {
    RemoveEndedAttempts(state, target);
    SampleStuckAttempts(state, kQueueingFraction * state.tightest_objective, target);
    if (target.samples.count > 0) {
      const double min_reserved_units = kReservedSpan / kSecond * target.reserved_rate;
      AdjustBoth(state, target.samples, min_reserved_units, target.limits);
    }
    target.samples = {};
  }
  LatencySamples& fleet_samples = state.fleet_latency.samples();
  if (fleet_samples.count > 0) {
    AdjustBoth(state, fleet_samples, 0, state.fleet_latency.limits());
  }
  fleet_samples = {};
}

bool HasCapacity(const SchedulerState& state, const TargetState& target, const RequestState& request,
                 bool is_reserved, bool misses_objective) {
  const double units_in_flight = UnitsInFlight(state, target);
  if (MayExplore(state, target, units_in_flight)) {
    return true;
  }
  if (misses_objective && IsInUse(state, target, units_in_flight)) {
    return false;
  }
  return IsWithinLimit(state, target, request, units_in_flight, is_reserved);
}

void MarkLimitBinding(SchedulerState& state, TargetState& target, bool is_reserved) {
  target.limits.Select(is_reserved).was_binding = true;
  state.fleet_latency.limits().Select(is_reserved).was_binding = true;
}

}  // namespace walnutspur::decision
