// One experiment: a fleet of initiators, their storage servers, the load, and the faults that are injected.
// Plain data; experiment_file.h reads it from TOML.
#ifndef WALNUTSPUR_LAB_SIM_EXPERIMENT_H_
#define WALNUTSPUR_LAB_SIM_EXPERIMENT_H_

#include <array>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "walnutspur/scheduler.h"

namespace walnutspur::lab::sim {

// An experiment that cannot be read or run; what() is one line.
class ExperimentError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// What a fault does to its targets while it lasts.
enum class FaultKind {
  kSlow,            // servers work at `factor` of their speed
  kFreeze,          // servers neither work nor reply
  kErrors,          // servers fail requests at once, with probability `factor`; some have run nevertheless
  kNoisyNeighbour,  // other work takes `factor` of the servers' slots
  kPartition,       // messages between a zone and the others are lost
  kRestart,         // processes end; when the fault ends, they start again and warm up, under the same target
  kReplace,         // servers drain; when the fault ends, others hold their shards, under new targets
  kNoReplies,       // servers run requests and never reply
  kDiscoveryOutage,  // discovery sends no notifications
  kSurge             // the request rate of a plan is `factor` times as high
};
// All kinds, in the order of FaultKind.
inline constexpr std::array<FaultKind, 10> kFaultKinds = {
    FaultKind::kSlow,           FaultKind::kFreeze,    FaultKind::kErrors,
    FaultKind::kNoisyNeighbour, FaultKind::kPartition, FaultKind::kRestart,
    FaultKind::kReplace,        FaultKind::kNoReplies, FaultKind::kDiscoveryOutage,
    FaultKind::kSurge};

// The name of a kind in experiment files.
const char* NameOf(FaultKind kind);
// Whether the targets of the fault are servers.
bool AffectsServers(FaultKind kind);
// Whether the fault ends the processes of its servers.
bool StopsProcess(FaultKind kind);

// A fault that is injected.
struct FaultPlan {
  FaultKind kind = FaultKind::kSlow;
  Time start = 0;       // after the start of the load, us
  Time duration = 0;    // for each target, us
  int first = 0;        // target: a server; kPartition: a zone; kSurge: a plan
  int count = 1;        // of consecutive targets
  double factor = 0.3;  // by kind
  Time stagger = 0;     // between the starts of consecutive targets, us
};

// A class of requests and its part of the load.
struct ClassPlan {
  std::string name;
  RequestClass request_class;
  double share = 1;       // of the requests, relative to other classes
  double mean_units = 1;  // of a request; half of it fixed, half exponentially distributed
  bool writes = false;    // may place new objects, and must not run twice
};

// A plan that volumes are on, and its part of the load.
struct TenantPlan {
  std::string name;
  int volumes = 10;
  double weight = 1;               // of the requests, relative to other plans
  double reserved_fraction = 0.5;  // of the mean rate of its volumes
};

// Everything that determines a run, but for the build.
struct Experiment {
  std::uint64_t seed = 1;
  Time duration = 60'000'000;         // of the load, us
  std::string policy = "walnutspur";  // see MakePolicy

  // Initiators.
  int initiators = 5;
  double clock_drift = 0;  // greatest fraction by which clocks run fast or slow

  // Storage servers.
  int servers = 20;           // one for each shard
  int zones = 2;              // assigned in turn
  int slots = 4;              // requests that a server runs at once
  int queue_limit = 32;       // requests that wait at a server; it rejects more
  Time unit_time = 4'000;     // of a unit's work in one slot, us
  double speed_spread = 0.2;  // greatest fraction by which servers are faster or slower
  Time pause_interval = 0;    // mean, between pauses of a server, us; 0: no pauses
  Time pause_duration = 0;    // mean, us

  // Network.
  Time network_delay = 300;        // least, one way, us
  Time network_jitter = 200;       // uniformly distributed, on top, us
  double reorder_probability = 0;  // of a message that takes many times its delay
  double loss_probability = 0;     // of a request whose connection breaks

  // Discovery.
  Time discovery_delay = 100'000;   // least, us
  Time discovery_jitter = 100'000;  // uniformly distributed, on top, for each initiator, us

  // Load.
  double load_factor = 0.6;           // of the capacity of all servers
  double request_rate = 0;            // of the fleet, 1/s; over 0: in place of load_factor
  double final_rate_multiple = 1;     // of the initial rate, reached linearly at the end
  double zipf_exponent = 0.8;         // of the popularity of a plan's volumes
  double new_object_fraction = 0.2;   // of the writes
  double recent_read_fraction = 0.3;  // of the reads: go to objects placed recently
  double objects_per_volume = 4096;
  double max_request_units = 16;

  // The scheduler.
  Rules rules;
  int max_attempts = 3;  // of a request

  std::vector<ClassPlan> classes;
  std::vector<TenantPlan> tenants;
  std::vector<FaultPlan> faults;

  // Units per second that one server does at full speed.
  double server_capacity() const { return static_cast<double>(slots) * 1e6 / static_cast<double>(unit_time); }
  // The zone of a server or an initiator.
  int ZoneOf(int number) const { return number % zones; }
  // Settings of the scheduler of each initiator.
  walnutspur::Settings SchedulerSettings() const;
  // Mean units of a request, over all classes.
  double MeanUnits() const;
  // Requests per second of the fleet at the start.
  double InitialRequestRate() const;
};

// How many targets there are for a fault of this kind: servers, zones or plans.
int FaultTargetCount(const Experiment& experiment, FaultKind kind);

}  // namespace walnutspur::lab::sim

#endif  // WALNUTSPUR_LAB_SIM_EXPERIMENT_H_
