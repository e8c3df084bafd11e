// Defines the plan of a soak run: the number of processes, the behaviour of clients, and the faults with
// their times. Drawn from a seed; the same seed gives the same plan.
//
// Plain data and pure functions; any thread.
#ifndef WALNUTSPUR_LAB_SOAK_PLAN_H_
#define WALNUTSPUR_LAB_SOAK_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
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
  // Of extended plans only.
  kCrowd,             // many clients that connect to a process at once, for the duration
  kReloadSeries,      // SIGHUP five times within 100 ms
  kReloadTerminate,   // SIGHUP, then kTerminate at once
  kTerminateReload,   // kTerminate, then SIGHUP at once
  kTerminateTwice,    // kTerminate, and SIGTERM again after the duration
  kTerminatePaused,   // kTerminate while the process is stopped by SIGSTOP for the duration
  kTerminateRestart,  // as kTerminateTwice, with a restart as soon as the process has exited
  kTerminateAll,      // kTerminate of all processes in a row
};
inline constexpr std::size_t kFaultEventKinds = 18;

// Returns the name of a kind, as in results and descriptions of plans.
std::string_view NameOf(FaultEventKind kind);

struct FaultEvent {
  Time at = 0;        // us after the clients' start
  Time duration = 0;  // us, of faults that last
  FaultEventKind kind = FaultEventKind::kEndWatches;
  int process = 0;
  int target = 0;
  int connections = 0;  // of a crowd
  DiscoveryFault discovery_fault = DiscoveryFault::kNone;
  TargetFault target_fault = TargetFault::kNone;
};

struct SoakPlan {
  std::uint64_t seed = 0;
  bool is_extended = false;  // drawn by DrawExtendedPlan
  int processes = 1;
  int targets = 4;
  int configured_instances = 1;
  Time drain_grace = 500'000;  // us
  Time duration = 12'000'000;  // us
  LoadOptions load;
  std::string system_faults;  // of the fault shim; empty: none
  std::vector<FaultEvent> events;
};

// Draws a plan from the seed, with the kinds up to kKill.
SoakPlan DrawPlan(std::uint64_t seed);

// Returns the plan of DrawPlan with a crowd and some signals in series, drawn from the same seed.
SoakPlan DrawExtendedPlan(std::uint64_t seed);

// Returns one line for the plan and one for each of its events.
std::string Describe(const SoakPlan& plan);

}  // namespace walnutspur::lab::soak

#endif  // WALNUTSPUR_LAB_SOAK_PLAN_H_
