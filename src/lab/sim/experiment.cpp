#include "lab/sim/experiment.h"

#include <algorithm>

namespace walnutspur::lab::sim {
namespace {

// Safety margin below the load at which a warming server crashes.
constexpr double kSlowStartMargin = 0.9;
constexpr Time kMaxRetryAfter = 500'000;  // us
constexpr double kFairShareWeight = 0.35;
constexpr double kExcessWeight = 0.08;

constexpr std::array<const char*, kFaultKinds.size()> kFaultNames = {
    "slow", "freeze", "errors", "neighbour", "cut", "restart", "replace", "silence", "deaf", "surge"};

}  // namespace

const char* NameOf(FaultKind kind) { return kFaultNames[static_cast<std::size_t>(kind)]; }

bool AffectsServers(FaultKind kind) {
  return kind != FaultKind::kPartition && kind != FaultKind::kSurge && kind != FaultKind::kDiscoveryOutage;
}

bool StopsProcess(FaultKind kind) { return kind == FaultKind::kRestart || kind == FaultKind::kReplace; }

int FaultTargetCount(const Experiment& experiment, FaultKind kind) {
  if (kind == FaultKind::kPartition) {
    return experiment.zones;
  }
  if (kind == FaultKind::kSurge) {
    return static_cast<int>(experiment.tenants.size());
  }
  return experiment.servers;
}

double Experiment::MeanUnits() const {
  double units = 0;
  double shares = 0;
  for (const ClassPlan& class_plan : classes) {
    units += class_plan.share * class_plan.mean_units;
    shares += class_plan.share;
  }
  return shares > 0 ? units / shares : 1;
}

double Experiment::InitialRequestRate() const {
  return request_rate > 0 ? request_rate : load_factor * servers * server_capacity() / MeanUnits();
}

walnutspur::Settings Experiment::SchedulerSettings() const {
  walnutspur::Settings settings;
  settings.instances = initiators;
  settings.discovery = DiscoveryMode::kSubscribe;
  for (const ClassPlan& class_plan : classes) {
    settings.classes.push_back(class_plan.request_class);
  }
  double weights = 0;
  for (const TenantPlan& tenant : tenants) {
    weights += tenant.weight;
  }
  for (const TenantPlan& tenant : tenants) {
    Plan plan;  // its rate is the mean rate of a volume
    plan.rate = std::max(
        1e-3, InitialRequestRate() * MeanUnits() * tenant.weight / std::max(weights, 1e-9) / tenant.volumes);
    plan.reserved_rate = tenant.reserved_fraction * plan.rate;
    settings.plans.push_back(plan);
  }
  settings.rules = rules;
  settings.max_attempts = max_attempts;
  settings.can_cancel = true;
  settings.max_retry_after = kMaxRetryAfter;
  settings.sends_retry_after = true;
  settings.mean_request_units = MeanUnits();
  settings.max_request_units = max_request_units;
  // The load from all initiators together that a warming server sustains, less the margin.
  settings.slow_start_units = kSlowStartMargin * rules.slow_start_fraction * server_capacity() *
                              rules.overload_threshold * static_cast<double>(rules.overload_window) / 1e6;
  settings.fair_share_weight = kFairShareWeight;
  settings.excess_weight = kExcessWeight;
  return settings;
}

}  // namespace walnutspur::lab::sim
