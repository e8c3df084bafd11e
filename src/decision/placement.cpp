#include "decision/placement.h"

#include <algorithm>

#include "decision/estimates.h"
#include "decision/in_flight.h"

namespace walnutspur::decision {
namespace {

// Cost of a failed placement, as a multiple of the tightest objective.
constexpr double kFailureCost = 2;
// Maximum random part of a placement's cost, as a fraction: prevents all instances choosing the same target.
constexpr double kCostJitter = 0.2;
// Time in which the weight of a placed object decays to 1/e: its reads follow within a few seconds.
constexpr Duration kPlacedDecayTime = std::chrono::seconds(5);

// Returns the expected time until the target completes the request and its later reads, plus costs of risks.
Duration PlacementCost(SchedulerState& state, const RequestState& request, int shard,
                       const TargetState& target) {
  const Duration unit_time = target.latency.unit_time();
  const double placed_units = target.placed_units.ValueAt(state.now, kPlacedDecayTime);
  const double units_ahead = UnitsInFlight(state, target) + request.units + placed_units;
  const auto queued = static_cast<double>(state.flows.Shard(shard).queued);
  const double failure_probability =
      state.outliers.FailureProbability(target.outcomes, target.zone, state.now);
  Duration cost = ExpectedQueueing(state, target) + units_ahead * unit_time;
  cost += queued * state.settings.mean_request_units * unit_time;
  cost += std::max(Duration::zero(), Elapsed(state.now, target.backoff.ends_at()));
  cost += kFailureCost * state.tightest_objective * failure_probability;
  if (target.slow_start.IsActive(state.settings, state.now)) {
    cost += state.tightest_objective;
  }
  return cost * (1 + kCostJitter * state.random.Next());
}

}  // namespace

int PlaceNewObject(SchedulerState& state, const RequestState& request) {
  int best_shard = -1;
  TargetState* best_target = nullptr;
  Duration best_cost = Duration::zero();
  for (const auto& [shard, target] : state.endpoints.holders()) {
    if (!target->active || !target->accepts_new_objects) {
      continue;
    }
    const Duration cost = PlacementCost(state, request, shard, *target);
    if (best_target == nullptr || cost < best_cost) {
      best_shard = shard;
      best_target = target;
      best_cost = cost;
    }
  }
  if (best_target != nullptr) {
    best_target->placed_units.Add(request.units, state.now, kPlacedDecayTime);
  }
  return best_shard;
}

}  // namespace walnutspur::decision
