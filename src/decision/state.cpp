#include "decision/state.h"

#include <algorithm>
#include <utility>

namespace walnutspur::decision {
namespace {

// Latency objective assumed for settings without classes: longer than any other.
constexpr Duration kNoObjective = Duration(1e18);

Duration TightestObjective(const Settings& settings) {
  Duration tightest = kNoObjective;
  for (const RequestClass& request_class : settings.classes) {
    if (request_class.accepts_requests) {
      tightest = std::min(tightest, Microseconds(request_class.latency_objective));
    }
  }
  return tightest;
}

}  // namespace

SchedulerState::SchedulerState(const Settings& initial_settings, const limits::AdaptiveLimits& initial_limits,
                               std::uint64_t seed)
    : settings(initial_settings),
      random(seed),
      tightest_objective(TightestObjective(settings)),
      endpoint_lease(settings.discovery, settings.rules.drain_grace),
      endpoint_poller(settings),
      fleet_latency(initial_limits) {
  if (settings.plans.empty()) {
    settings.plans.emplace_back();
  }
}

void SchedulerState::ReplaceSettings(const Settings& next) {
  Settings former = std::move(settings);
  settings = next;
  settings.instances = former.instances;
  settings.traffic_fraction = former.traffic_fraction;
  settings.processes = former.processes;
  settings.plans = std::move(former.plans);
  const std::size_t plans = std::min(settings.plans.size(), next.plans.size());
  std::copy_n(next.plans.begin(), plans, settings.plans.begin());
  tightest_objective = TightestObjective(settings);
}

std::size_t SchedulerState::table_entries() const {
  return endpoints.table_entries() + volumes.size() + requests.size() + key_order.size() +
         retry_budget.table_entries() + flows.flow_count();
}

}  // namespace walnutspur::decision
