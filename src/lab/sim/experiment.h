// Describes one experiment: a fleet of initiators, their storage servers, the load and the injected faults.
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

// Reports that an experiment cannot be read or run; what() is a one-line message.
class ExperimentError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The effect of a fault on its targets while it lasts.
enum class FaultKind {
  kSlow,             // servers work at `factor` of their speed
  kFreeze,           // servers neither work nor reply
  kErrors,           // servers fail requests immediately, with probability `factor`; some of them have run
  kNoisyNeighbour,   // other work takes `factor` of the servers' slots
  kPartition,        // messages between a zone and the others are lost
  kRestart,          // processes stop; when the fault ends, they start again as the same targets and warm up
  kReplace,          // servers drain; when the fault ends, other servers hold their shards, as new targets
  kNoReplies,        // servers run requests but never reply
  kDiscoveryOutage,  // discovery sends no notifications
  kSurge             // the request rate of a plan is `factor` times as high
};
// All kinds, in the order of FaultKind.
inline constexpr std::array<FaultKind, 10> kFaultKinds = {
    FaultKind::kSlow,           FaultKind::kFreeze,    FaultKind::kErrors,
    FaultKind::kNoisyNeighbour, FaultKind::kPartition, FaultKind::kRestart,
    FaultKind::kReplace,        FaultKind::kNoReplies, FaultKind::kDiscoveryOutage,
    FaultKind::kSurge};

// Returns the name of a kind in experiment files.
const char* NameOf(FaultKind kind);
// Returns whether the targets of the fault are servers.
bool AffectsServers(FaultKind kind);
// Returns whether the fault stops the processes of its servers.
bool StopsProcess(FaultKind kind);

// One injected fault.
struct FaultPlan {
  FaultKind kind = FaultKind::kSlow;
  Time start = 0;       // after the start of the load, us
  Time duration = 0;    // for each target, us
  int first = 0;        // index of the first target: a server; kPartition: a zone; kSurge: a plan
  int count = 1;        // number of consecutive targets
  double factor = 0.3;  // by kind
  Time stagger = 0;     // between the starts of consecutive targets, us
};

// A class of requests and its share of the load.
struct ClassPlan {
  std::string name;
  RequestClass request_class;
  double share = 1;       // share of the requests, relative to other classes
  double mean_units = 1;  // mean size of a request: half is fixed, half is exponentially distributed
  bool writes = false;    // may place new objects, and must not run twice
};

// A plan with its volumes and its share of the load.
struct TenantPlan {
  std::string name;
  int volumes = 10;
  double weight = 1;               // share of the requests, relative to other plans
  double reserved_fraction = 0.5;  // reserve, as a fraction of the mean rate of its volumes
};

// All parameters that, together with the build, determine a run.
struct Experiment {
  std::uint64_t seed = 1;
  Time duration = 60'000'000;         // duration of the load, us
  std::string policy = "walnutspur";  // see MakePolicy

  // Initiators.
  int initiators = 5;
  double clock_drift = 0;  // maximum fraction by which clocks run fast or slow

  // Storage servers.
  int servers = 20;           // one per shard
  int zones = 2;              // servers and initiators are assigned in turn
  int slots = 4;              // requests that a server runs concurrently
  int queue_limit = 32;       // maximum queue length of a server; it rejects further requests
  Time unit_time = 4'000;     // time that one slot needs for one unit, us
  double speed_spread = 0.2;  // maximum fraction by which servers are faster or slower
  Time pause_interval = 0;    // mean time between pauses of a server, us; 0: no pauses
  Time pause_duration = 0;    // mean duration of a pause, us

  // Network.
  Time network_delay = 300;        // minimum one-way delay, us
  Time network_jitter = 200;       // maximum extra delay, uniformly distributed, us
  double reorder_probability = 0;  // probability that a message takes many times its delay
  double loss_probability = 0;     // probability that the connection breaks during a request

  // Discovery.
  Time discovery_delay = 100'000;   // minimum delay of a notification, us
  Time discovery_jitter = 100'000;  // maximum extra delay, uniformly distributed for each initiator, us

  // Load.
  double load_factor = 0.6;          // initial load, as a fraction of the capacity of all servers
  double request_rate = 0;           // initial rate of the fleet, 1/s; replaces load_factor if greater than 0
  double final_rate_multiple = 1;    // final rate / initial rate; the rate changes linearly
  double zipf_exponent = 0.8;        // exponent of the popularity of a plan's volumes
  double new_object_fraction = 0.2;  // fraction of the writes
  double recent_read_fraction = 0.3;  // fraction of the reads that go to recently placed objects
  double objects_per_volume = 4096;
  double max_request_units = 16;

  // The scheduler.
  Rules rules;
  int max_attempts = 3;  // per request

  std::vector<ClassPlan> classes;
  std::vector<TenantPlan> tenants;
  std::vector<FaultPlan> faults;

  // Returns the units per second that one server completes at full speed.
  double server_capacity() const { return static_cast<double>(slots) * 1e6 / static_cast<double>(unit_time); }
  // Returns the zone of a server or an initiator.
  int ZoneOf(int number) const { return number % zones; }
  // Returns the settings of the scheduler of each initiator.
  walnutspur::Settings SchedulerSettings() const;
  // Returns the mean units of a request over all classes.
  double MeanUnits() const;
  // Returns the requests per second of the whole fleet at the start.
  double InitialRequestRate() const;
};

// Returns the number of possible targets (servers, zones or plans) of a fault of this kind.
int FaultTargetCount(const Experiment& experiment, FaultKind kind);

}  // namespace walnutspur::lab::sim

#endif  // WALNUTSPUR_LAB_SIM_EXPERIMENT_H_
