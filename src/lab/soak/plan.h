// Defines the plan of a soak run: the number of processes, the behaviour of clients, and the faults with
// their times. Drawn from a seed; the same seed gives the same plan.
//
// Plain data and pure functions; any thread.
#ifndef WALNUTSPUR_LAB_SOAK_PLAN_H_
#define WALNUTSPUR_LAB_SOAK_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "lab/fakes/discovery_service.h"
#include "lab/fakes/http_target.h"
#include "lab/soak/load_client.h"

namespace walnutspur::lab::soak {

enum class FaultEventKind {
  kDiscoveryFault,  // for the duration; ends with kNone
  kEndWatches,
  kDrain,        // a target starts to drain, and is removed from the list a second later
  kReturn,       // a target is listed as active again
  kTargetFault,  // for the duration; ends with kNone
  kCloseIdle,    // a target closes its idle connections
  kPause,        // SIGSTOP; SIGCONT after the duration
  kReload,       // SIGHUP, with unchanged settings
  kTerminate,    // SIGTERM, SIGKILL at the earliest time that the platform allows, and a restart
  kKill,         // SIGKILL, and a restart
};

struct FaultEvent {
  Time at = 0;        // us after the clients' start
  Time duration = 0;  // us, of faults that last
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

// Draws a plan from the seed.
SoakPlan DrawPlan(std::uint64_t seed);

// Returns one line for the plan and one for each of its events.
std::string Describe(const SoakPlan& plan);

}  // namespace walnutspur::lab::soak

#endif  // WALNUTSPUR_LAB_SOAK_PLAN_H_
