#include "lab/sim/experiment_file.h"

#include <cctype>
#include <cmath>
#include <fstream>
#include <limits>
#include <set>
#include <sstream>

namespace walnutspur::lab::sim {
namespace {

using config::Table;

constexpr double kMicrosPerSecond = 1e6;
constexpr double kMicrosPerMilli = 1000;
constexpr Time kPollInterval = 10'000'000;  // us; the simulated discovery pushes its updates
constexpr Time kResponseGrace = 8'000;      // us
constexpr int kDefaultVolumesPerServer = 4;

// ---- reading ----

Time ToMicros(double seconds) { return static_cast<Time>(std::llround(seconds * kMicrosPerSecond)); }

Time Seconds(const Table& table, const char* key) { return ToMicros(table.Number(key)); }

Time Millis(const Table& table, const char* key) { return ToMicros(table.Number(key) / kMicrosPerMilli); }

int Count(const Table& table, const char* key) { return static_cast<int>(table.Integer(key)); }

// Returns the tables `[[name]]` of the file.
std::vector<Table> TablesOf(const Table& root, const char* name) {
  const auto at = root.tables.find(name);
  return at == root.tables.end() ? std::vector<Table>() : at->second;
}

void ReadRun(const Table& root, Experiment* experiment) {
  experiment->seed = static_cast<std::uint64_t>(root.Integer("seed"));
  experiment->duration = Seconds(root, "length_s");
  experiment->policy = root.Text("policy");
}

void ReadFleet(const Table& root, Experiment* experiment) {
  experiment->initiators = Count(root, "fleet.initiators");
  experiment->clock_drift = root.Number("fleet.clock_drift");
  experiment->servers = Count(root, "boxes.count");
  experiment->zones = Count(root, "boxes.zones");
  experiment->slots = Count(root, "boxes.slots");
  experiment->queue_limit = Count(root, "boxes.queue");
  experiment->unit_time = Millis(root, "boxes.unit_ms");
  experiment->speed_spread = root.Number("boxes.speed_spread");
  experiment->pause_interval = Seconds(root, "boxes.pause_every_s");
  experiment->pause_duration = Millis(root, "boxes.pause_ms");
}

void ReadNetwork(const Table& root, Experiment* experiment) {
  experiment->network_delay = Millis(root, "network.delay_ms");
  experiment->network_jitter = Millis(root, "network.jitter_ms");
  experiment->reorder_probability = root.Number("network.reorder");
  experiment->loss_probability = root.Number("network.loss");
  experiment->discovery_delay = Millis(root, "discovery.delay_ms");
  experiment->discovery_jitter = Millis(root, "discovery.jitter_ms");
}

void ReadLoad(const Table& root, Experiment* experiment) {
  experiment->load_factor = root.Number("load.part");
  experiment->request_rate = root.Number("load.rate");
  experiment->final_rate_multiple = root.Number("load.ramp_to");
  experiment->zipf_exponent = root.Number("load.zipf");
  experiment->new_object_fraction = root.Number("load.fresh");
  experiment->recent_read_fraction = root.Number("load.reread");
  experiment->objects_per_volume = root.Number("load.pieces");
  experiment->max_request_units = root.Number("load.largest_units");
}

void ReadRules(const Table& root, Experiment* experiment) {
  experiment->max_attempts = Count(root, "rules.try_limit");
  Rules& rules = experiment->rules;
  rules.poll_interval = kPollInterval;
  rules.drain_grace = Millis(root, "rules.drain_grace_ms");
  rules.response_grace = kResponseGrace;
  rules.slow_start_fraction = root.Number("rules.cold_share");
  rules.slow_start_duration = Seconds(root, "rules.warm_up_s");
  rules.overload_threshold = root.Number("rules.tip_multiple");
  rules.overload_window = Seconds(root, "rules.overload_for_s");
}

ClassPlan ReadClass(const Table& table) {
  ClassPlan plan;
  plan.name = table.Text("name");
  plan.request_class.latency_objective = Millis(table, "aim_ms");
  plan.request_class.deadline = Millis(table, "deadline_ms");
  plan.writes = table.Text("effect") == "unsafe";
  plan.request_class.idempotency = plan.writes ? Idempotency::kNotIdempotent : Idempotency::kIdempotent;
  plan.request_class.priority_weight = table.Number("worth");
  plan.request_class.late_weight_fraction = table.Number("late_worth");
  plan.share = table.Number("share");
  plan.mean_units = table.Number("units");
  return plan;
}

// Returns the request classes of an experiment file without `[[class]]` tables.
std::vector<ClassPlan> DefaultClasses() {
  ClassPlan read;
  read.name = "read";
  read.request_class.latency_objective = 120'000;
  read.request_class.deadline = 2'000'000;
  read.request_class.late_weight_fraction = 0.2;
  read.share = 3;
  ClassPlan write = read;
  write.name = "write";
  write.request_class.idempotency = Idempotency::kNotIdempotent;
  write.writes = true;
  write.share = 1;
  return {read, write};
}

TenantPlan ReadTenant(const Table& table) {
  TenantPlan plan;
  plan.name = table.Text("name");
  plan.volumes = Count(table, "volumes");
  plan.weight = table.Number("weight");
  plan.reserved_fraction = table.Number("reserve");
  return plan;
}

// Returns the plan of an experiment file without `[[plan]]` tables.
TenantPlan DefaultTenant(int servers) {
  TenantPlan plan;
  plan.name = "usual";
  plan.volumes = kDefaultVolumesPerServer * servers;
  return plan;
}

FaultPlan ReadFault(const Table& table) {
  FaultPlan fault;
  for (const FaultKind kind : kFaultKinds) {
    if (table.Text("kind") == NameOf(kind)) {
      fault.kind = kind;
    }
  }
  fault.start = Seconds(table, "at_s");
  fault.duration = Seconds(table, "for_s");
  fault.first = Count(table, "first");
  fault.count = Count(table, "count");
  fault.factor = table.Number("factor");
  fault.stagger = Seconds(table, "apart_s");
  return fault;
}

void ReadTables(const Table& root, Experiment* experiment) {
  for (const Table& table : TablesOf(root, "class")) {
    experiment->classes.push_back(ReadClass(table));
  }
  if (experiment->classes.empty()) {
    experiment->classes = DefaultClasses();
  }
  for (const Table& table : TablesOf(root, "plan")) {
    experiment->tenants.push_back(ReadTenant(table));
  }
  if (experiment->tenants.empty()) {
    experiment->tenants = {DefaultTenant(experiment->servers)};
  }
  for (const Table& table : TablesOf(root, "fault")) {
    experiment->faults.push_back(ReadFault(table));
  }
}

// ---- checks of several keys together; each function returns the first error, or an empty string ----

std::string FindClassError(const Experiment& experiment) {
  std::set<std::string> names;
  for (const ClassPlan& plan : experiment.classes) {
    if (!names.insert(plan.name).second) {
      return "class '" + plan.name + "' is defined more than once";
    }
    if (plan.request_class.latency_objective > plan.request_class.deadline) {
      return "class '" + plan.name + "': aim_ms must be at most deadline_ms";
    }
  }
  return "";
}

std::string FindPlanError(const Experiment& experiment) {
  std::set<std::string> names;
  for (const TenantPlan& plan : experiment.tenants) {
    if (!names.insert(plan.name).second) {
      return "plan '" + plan.name + "' is defined more than once";
    }
  }
  return "";
}

Time EndOf(const FaultPlan& fault) { return fault.start + fault.duration + fault.stagger * fault.count; }

// Returns whether both faults stop the process of the same server at the same time.
bool BothStopSameServer(const FaultPlan& fault, const FaultPlan& other) {
  const bool same_server = fault.first < other.first + other.count && other.first < fault.first + fault.count;
  const bool same_time = fault.start < EndOf(other) && other.start < EndOf(fault);
  return StopsProcess(fault.kind) && StopsProcess(other.kind) && same_server && same_time;
}

std::string FindFaultError(const Experiment& experiment, std::size_t index) {
  const FaultPlan& fault = experiment.faults[index];
  const int targets = FaultTargetCount(experiment, fault.kind);
  if (fault.kind != FaultKind::kDiscoveryOutage && fault.first + fault.count > targets) {
    return "first + count is " + std::to_string(fault.first + fault.count) + "; must be at most " +
           std::to_string(targets);
  }
  if (fault.start >= experiment.duration) {
    return "at_s must be less than length_s";
  }
  for (std::size_t i = 0; i < index; ++i) {
    const FaultPlan& earlier = experiment.faults[i];
    if (BothStopSameServer(fault, earlier)) {
      return std::string("overlaps the earlier fault ") + NameOf(earlier.kind) +
             ": both stop the same boxes at the same time";
    }
  }
  return "";
}

// Returns the line of the fault's `kind` key in the file as "LINE: ", or an empty string if it is unknown.
std::string LineOfFault(const Table& root, std::size_t index) {
  const auto tables = root.tables.find("fault");
  if (tables == root.tables.end()) {
    return "";
  }
  const auto& lines = tables->second[index].lines;
  const auto line = lines.find("kind");
  return line == lines.end() ? "" : std::to_string(line->second) + ": ";
}

std::string FindInconsistency(const Experiment& experiment, const Table& root) {
  std::string error = FindClassError(experiment);
  if (error.empty()) {
    error = FindPlanError(experiment);
  }
  for (std::size_t index = 0; error.empty() && index < experiment.faults.size(); ++index) {
    error = FindFaultError(experiment, index);
    if (!error.empty()) {
      return LineOfFault(root, index) + "fault " + NameOf(experiment.faults[index].kind) + ": " + error;
    }
  }
  return error;
}

// ---- writing ----

double ToSeconds(Time time) { return static_cast<double>(time) / kMicrosPerSecond; }

double ToMillis(Time time) { return static_cast<double>(time) / kMicrosPerMilli; }

void WriteServers(const Experiment& experiment, std::ostream& out) {
  out << "[fleet]\ninitiators = " << experiment.initiators << "\nclock_drift = " << experiment.clock_drift
      << "\n[boxes]\ncount = " << experiment.servers << "\nzones = " << experiment.zones
      << "\nslots = " << experiment.slots << "\nqueue = " << experiment.queue_limit
      << "\nunit_ms = " << ToMillis(experiment.unit_time) << "\nspeed_spread = " << experiment.speed_spread
      << "\npause_every_s = " << ToSeconds(experiment.pause_interval)
      << "\npause_ms = " << ToMillis(experiment.pause_duration) << "\n";
}

void WriteNetwork(const Experiment& experiment, std::ostream& out) {
  out << "[network]\ndelay_ms = " << ToMillis(experiment.network_delay)
      << "\njitter_ms = " << ToMillis(experiment.network_jitter)
      << "\nreorder = " << experiment.reorder_probability << "\nloss = " << experiment.loss_probability
      << "\n[discovery]\ndelay_ms = " << ToMillis(experiment.discovery_delay)
      << "\njitter_ms = " << ToMillis(experiment.discovery_jitter) << "\n";
}

void WriteLoad(const Experiment& experiment, std::ostream& out) {
  out << "[load]\npart = " << experiment.load_factor << "\nrate = " << experiment.request_rate
      << "\nramp_to = " << experiment.final_rate_multiple << "\nzipf = " << experiment.zipf_exponent
      << "\nfresh = " << experiment.new_object_fraction << "\nreread = " << experiment.recent_read_fraction
      << "\npieces = " << experiment.objects_per_volume
      << "\nlargest_units = " << experiment.max_request_units << "\n";
}

void WriteRules(const Experiment& experiment, std::ostream& out) {
  const Rules& rules = experiment.rules;
  out << "[rules]\ntry_limit = " << experiment.max_attempts
      << "\ndrain_grace_ms = " << ToMillis(rules.drain_grace)
      << "\ncold_share = " << rules.slow_start_fraction
      << "\nwarm_up_s = " << ToSeconds(rules.slow_start_duration)
      << "\ntip_multiple = " << rules.overload_threshold
      << "\noverload_for_s = " << ToSeconds(rules.overload_window) << "\n";
}

void WriteClass(const ClassPlan& plan, std::ostream& out) {
  out << "[[class]]\nname = \"" << plan.name
      << "\"\naim_ms = " << ToMillis(plan.request_class.latency_objective)
      << "\ndeadline_ms = " << ToMillis(plan.request_class.deadline) << "\neffect = \""
      << (plan.writes ? "unsafe" : "safe") << "\"\nworth = " << plan.request_class.priority_weight
      << "\nlate_worth = " << plan.request_class.late_weight_fraction << "\nshare = " << plan.share
      << "\nunits = " << plan.mean_units << "\n";
}

void WriteTenant(const TenantPlan& plan, std::ostream& out) {
  out << "[[plan]]\nname = \"" << plan.name << "\"\nvolumes = " << plan.volumes
      << "\nweight = " << plan.weight << "\nreserve = " << plan.reserved_fraction << "\n";
}

void WriteFault(const FaultPlan& fault, std::ostream& out) {
  out << "[[fault]]\nkind = \"" << NameOf(fault.kind) << "\"\nat_s = " << ToSeconds(fault.start)
      << "\nfor_s = " << ToSeconds(fault.duration) << "\nfirst = " << fault.first
      << "\ncount = " << fault.count << "\nfactor = " << fault.factor
      << "\napart_s = " << ToSeconds(fault.stagger) << "\n";
}

}  // namespace

Experiment ParseExperiment(const std::string& text, const std::string& file) {
  const config::Document document = config::Read(text, ExperimentKeys());
  if (!document.problems.empty()) {
    throw ExperimentError(config::FormatProblem(file, document.problems.front()));
  }
  const Table& root = document.root;
  Experiment experiment;
  ReadRun(root, &experiment);
  ReadFleet(root, &experiment);
  ReadNetwork(root, &experiment);
  ReadLoad(root, &experiment);
  ReadRules(root, &experiment);
  ReadTables(root, &experiment);
  const std::string error = FindInconsistency(experiment, root);
  if (!error.empty()) {
    const bool has_line = std::isdigit(static_cast<unsigned char>(error[0])) != 0;
    throw ExperimentError(file + ":" + (has_line ? "" : " ") + error);
  }
  return experiment;
}

Experiment LoadExperiment(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw ExperimentError("cannot read " + path);
  }
  std::stringstream text;
  text << file.rdbuf();
  return ParseExperiment(text.str(), path);
}

std::string FormatExperiment(const Experiment& experiment) {
  std::ostringstream out;
  out.precision(std::numeric_limits<double>::max_digits10);
  out << std::showpoint << "seed = " << experiment.seed << "\nlength_s = " << ToSeconds(experiment.duration)
      << "\npolicy = \"" << experiment.policy << "\"\n";
  WriteServers(experiment, out);
  WriteNetwork(experiment, out);
  WriteLoad(experiment, out);
  WriteRules(experiment, out);
  for (const ClassPlan& plan : experiment.classes) {
    WriteClass(plan, out);
  }
  for (const TenantPlan& plan : experiment.tenants) {
    WriteTenant(plan, out);
  }
  for (const FaultPlan& fault : experiment.faults) {
    WriteFault(fault, out);
  }
  return out.str();
}

}  // namespace walnutspur::lab::sim
