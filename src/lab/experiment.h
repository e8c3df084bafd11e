// One experiment, as a TOML file describes it: a fleet, its boxes, what is asked of them and what goes wrong
// when. The same file is meant for sockets and for virtual time.
//
// Every key has a range and a default; a file that says anything else, or that contradicts itself, is told
// with file, line and key, and nothing is started.
#ifndef WALNUTSPUR_LAB_EXPERIMENT_H_
#define WALNUTSPUR_LAB_EXPERIMENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "config/schema.h"
#include "walnutspur/scheduler.h"

namespace walnutspur::lab {

enum class Trouble {
  kSlow,       // works at `factor` of its speed
  kFreeze,     // works on nothing, and answers nothing
  kErrors,     // answers at once that it has failed, though it may have run
  kNeighbour,  // another's work takes `factor` of its slots
  kCut,        // messages between a zone and the others are lost
  kRestart,    // the process ends and starts again cold, under the same id
  kReplace,    // the machine drains, ends, and another one takes its cell under a new id
  kSilence,    // takes work and runs it, and never answers
  kDeaf,       // discovery tells nothing
  kSurge       // one plan asks `factor` times as much
};
const char* NameOf(Trouble trouble);

struct FaultPlan {
  Trouble trouble = Trouble::kSlow;
  Time at = 0, lasts = 0;
  int first = 0, count = 1;  // of boxes; kCut: a zone; kSurge: a plan
  double factor = 0.3;
  Time apart = 0;  // between one box's beginning and the next one's
};

struct ClassPlan {
  std::string name;
  RequestClass cls;
  double share = 1;     // of the requests
  double units = 1;     // mean; exponential, from a half to `largest_units`
  bool writes = false;  // its first tries may place new objects
};
struct TenantPlan {
  std::string name;
  int volumes = 10;
  double weight = 1;     // of the requests, against other plans
  double reserve = 0.5;  // part of what its volumes usually ask
};

struct Experiment {
  std::uint64_t seed = 1;
  Time length = 60'000'000;
  // the fleet
  int initiators = 5;
  double drift = 0;  // parts by which clocks run fast or slow, at most
  // boxes
  int boxes = 20, zones = 2;
  int slots = 4, queue = 32;
  Time unit = 4'000;  // us of work for a unit in one slot
  double speed_spread = 0.2;
  Time pause_every = 0, pause = 0;
  // network
  Time delay = 300, jitter = 200;  // us one way
  double reorder = 0;              // part of the messages that come much later than their time
  double loss = 0;  // part that never comes; the connection ends and both sides know after 200 ms
  // discovery
  Time list_delay = 100'000, list_jitter = 100'000;
  // load
  double load = 0.6;     // of what the boxes can do; with `rate` over 0 that many requests a second instead
  double rate = 0;       // of the whole fleet
  double ramp_to = 1;    // grows evenly to so many times as much over the length
  double zipf = 0.8;     // over the volumes of a plan
  double fresh = 0.2;    // part of the writes that place new objects
  double reread = 0.3;   // part of the reads that go to such
  double pieces = 4096;  // of a volume
  double largest_units = 16;
  std::string policy = "walnutspur";
  Rules rules;
  int try_limit = 3;
  std::vector<ClassPlan> classes;
  std::vector<TenantPlan> tenants;
  std::vector<FaultPlan> faults;

  // Units a second that one box does at full speed.
  double power() const { return static_cast<double>(slots) * 1e6 / static_cast<double>(unit); }
  // What the module is told.
  walnutspur::Settings SettingsOf() const;
  double MeanUnits() const;
  double RequestsASecond() const;  // at the start
};

const std::vector<config::Key>& ExperimentKeys();

// Throws std::runtime_error with the first problem as one line: file, line, key, what, what is allowed.
Experiment ParseExperiment(const std::string& text, const std::string& file);
Experiment LoadExperiment(const std::string& path);
// As a file that says the same, for replays.
std::string Write(const Experiment& experiment);

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_EXPERIMENT_H_
