// The plan of a soak run: how many processes, which clients, and which faults when. Drawn from a seed; the
// same seed gives the same plan.
//
// Plain data and pure functions; any thread.
#ifndef WALNUTSPUR_LAB_SOAK_PLAN_H_
#define WALNUTSPUR_LAB_SOAK_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "lab/soak/load_client.h"
#include "lab/standins/discovery_service.h"
#include "lab/standins/http_target.h"

namespace walnutspur::lab::soak {

enum class FaultEventKind {
  kDiscoveryFault,  // lasts; ends with kNone
  kEndWatches,
  kDrain,        // a target begins to drain, and leaves the list a second later
  kReturn,       // a target is listed as serving again
  kTargetFault,  // lasts; ends with kNone
  kCloseIdle,    // a target closes its idle connections
  kPause,        // SIGSTOP; lasts
  kReload,       // SIGHUP without a change
  kTerminate,    // SIGTERM, SIGKILL at the earliest time that the platform allows, and a new start
  kKill,         // SIGKILL, and a new start
};

struct FaultEvent {
  Time at = 0;        // us after the clients' start
  Time duration = 0;  // us, of what lasts
  FaultEventKind kind = FaultEventKind::kEndWatches;
  int process = 0;
  int target = 0;
  DiscoveryFault discovery_fault = DiscoveryFault::kNone;
  TargetFault target_fault = TargetFault::kNone;
};

struct SoakPlan {
  std::uint64_t seed = 0;
  int processes = 1;
  int targets = 4;
  int configured_instances = 1;
  Time drain_grace = 500'000;  // us
  Time duration = 12'000'000;  // us
  LoadOptions load;
  std::string system_faults;  // of the fault shim; empty: none
  std::vector<FaultEvent> events;
};

// Draws a plan.
SoakPlan DrawPlan(std::uint64_t seed);

// One line for the plan and one for each of its events.
std::string Describe(const SoakPlan& plan);

}  // namespace walnutspur::lab::soak

#endif  // WALNUTSPUR_LAB_SOAK_PLAN_H_
