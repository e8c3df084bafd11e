#include "decision/concurrency_limit.h"

#include <algorithm>
#include <cmath>

#include "decision/estimates.h"

namespace walnutspur::decision {
namespace {

constexpr double kQueueingPart = 0.08;         // of the tightest objective that queueing may take
constexpr double kReservedQueueingPart = 0.3;  // the same inside reserves, which earn the full weight
constexpr double kPacedQueueingPart = 0.2;     // the same for a limit under one mean request: a single
                                               // response cannot tell queueing from uneven service
constexpr double kUnevenness = 2;              // service times that a response may take longer by itself
constexpr double kGain = 0.4;                  // step of a limit towards what latency calls for
constexpr double kDrift = 0.5;            // mean requests added a step, so that limits of instances converge;
constexpr double kDriftInstances = 5;     // of more instances all together add what so many do
constexpr double kInitialRequests = 3;    // mean requests in flight at an unknown target
constexpr double kMostRequests = 64;      // mean requests; beyond it latency does not guide the limit
constexpr double kReserveSpan = 2;        // s of reserved rate that may always be in flight
constexpr double kFewestRequests = 0.05;  // mean requests: the least limit of an instance
constexpr double kPacedInstances = 200;   // of more instances each has a smaller one
constexpr double kExploreAfter = 0.8;  // part of the tightest objective without a send to a stuck target, and
constexpr double kExploreDelays = 4;   // its queueing delays, until an exploratory attempt
constexpr double kExploreDoublings = 10;   // of that time, at most
constexpr Time kOverloadBackoff = 30'000;  // us after an overload, doubling
constexpr int kOverloadDoublings = 5;      // at most: a full queue takes seconds to drain
constexpr Time kConnectBackoff = 200'000;  // us after a failed connect, doubling
constexpr int kConnectDoublings = 3;       // at most: a target is back in use within 1.6 s

// `pressure` is the queueing delay over what is allowed. The upward drift is shared by all instances: if each
// of hundreds added a part of its own limit, they would settle where queueing is well over what is allowed.
void Adjust(const Settings& settings, ConcurrencyLimit& limit, double least, double pressure) {
  const double part = settings.mean_request_units * std::min(1.0, kDriftInstances / settings.instances);
  const double drift = kDrift * std::min(limit.units, part);
  const double wanted = limit.units / std::max(0.5, pressure) + drift;
  if (wanted < limit.units || limit.reached) {
    limit.units += kGain * (wanted - limit.units);
  }
  const double pace = kFewestRequests * std::min(1.0, kPacedInstances / settings.instances);
  least = std::max(least, pace * settings.mean_request_units);
  limit.units = std::clamp(limit.units, least, kMostRequests * settings.mean_request_units);
  limit.reached = false;
}

void AdjustPair(const SchedulerState& state, ConcurrencyLimits& limits, const LatencySamples& samples,
                double least_reserved) {
  const double objective = state.tightest_objective * state.client_wait_fraction;
  const double queueing = samples.queueing / samples.count;
  const double unevenness = kUnevenness * (samples.service / samples.count) / objective;
  const bool paced = limits.shared.units <= state.settings.mean_request_units;
  const double allowed = paced ? kPacedQueueingPart + unevenness : kQueueingPart;
  Adjust(state.settings, limits.shared, 0, queueing / objective / allowed);
  Adjust(state.settings, limits.reserved, least_reserved, queueing / objective / kReservedQueueingPart);
}

// Time after the last send to a stuck target until one more attempt explores it, us. Longer where responses
// were slow already, doubling with each attempt in flight, and such that the attempts of all instances
// together are no more than one at a time: or else they alone keep a slow target congested.
double ExplorationGap(const SchedulerState& state, const TargetState& target) {
  const double others = static_cast<double>(AttemptsInFlight(state, target)) - 1;
  const double doublings = std::clamp(others, 0.0, kExploreDoublings);
  const double base = kExploreAfter * state.tightest_objective + kExploreDelays * target.latency.queueing();
  return std::max(base * std::exp2(doublings),
                  state.settings.instances * state.settings.mean_request_units * target.latency.unit_time());
}

}  // namespace

ConcurrencyLimits InitialConcurrencyLimits(const Settings& settings) {
  const ConcurrencyLimit initial{kInitialRequests * settings.mean_request_units};
  return {initial, initial};
}

void BackOff(const SchedulerState& state, Outcome outcome, TargetState& target) {
  if (outcome == Outcome::kOverloaded) {
    target.backoff_until = state.now + (kOverloadBackoff << std::min(target.overloads++, kOverloadDoublings));
    const double drain_time = std::max(ExpectedQueueing(state, target), state.tightest_objective);
    target.latency.SetQueueing(drain_time, state.now);
    for (ConcurrencyLimit* limit : {&target.limits.shared, &target.limits.reserved}) {
      limit->units = std::max(kFewestRequests * state.settings.mean_request_units, limit->units / 2);
    }
  } else if (outcome == Outcome::kConnectFailed) {
    const int doublings = std::min(target.connect_failures++, kConnectDoublings);
    target.backoff_until = state.now + (kConnectBackoff << doublings);
  } else if (outcome == Outcome::kCompleted) {
    target.connect_failures = 0;
    target.overloads = 0;
  }
}

void AdjustConcurrencyLimits(SchedulerState& state) {
  state.served_rate = ServedRate(state);
  for (auto& [id, target] : state.targets) {
    RemoveEndedAttempts(state, target);
    SampleStuckAttempts(state, kQueueingPart * state.tightest_objective, target);
    if (target.samples.count > 0) {
      AdjustPair(state, target.limits, target.samples, kReserveSpan * target.reserved_rate);
    }
    target.samples = {};
  }
  if (state.fleet_samples.count > 0) {
    AdjustPair(state, state.fleet_limits, state.fleet_samples, 0);
  }
  state.fleet_samples = {};
}

bool HasRoom(SchedulerState& state, TargetState& target, const RequestState& request, bool is_reserved,
             bool is_late) {
  const double in_flight = UnitsInFlight(state, target);
  const double idle = state.Since(target.last_send);
  // Only an exploratory attempt can show that a stuck target responds again, or that its attempts were lost.
  const bool exploratory = in_flight > 0 && idle > ExplorationGap(state, target);
  const bool is_stale = target.latency.IsStale(state.now);  // then the target may only look idle
  const double allowed = kQueueingPart * state.client_wait_fraction * state.tightest_objective;
  const bool busy = in_flight > 0 || (is_late && is_stale) || ExpectedQueueing(state, target) > allowed;
  ConcurrencyLimit& limit = target.limits.Select(is_reserved);
  ConcurrencyLimit& fleet_limit = state.fleet_limits.Select(is_reserved);
  const double units = is_stale ? std::min(limit.units, fleet_limit.units) : limit.units;
  // One request in flight from each of hundreds of instances is too much: below that, sends are paced.
  const double gap =
      (request.units / units - 1) * (target.latency.ServiceTime(request.units) + target.latency.queueing());
  const bool full = in_flight > 0 ? in_flight + request.units > units : idle < gap;
  // What is likely to be late takes only room that nothing else uses.
  const bool has_room = exploratory || !(full || (busy && is_late));
  limit.reached = limit.reached || !has_room;
  fleet_limit.reached = fleet_limit.reached || !has_room;
  return has_room;
}

}  // namespace walnutspur::decision
