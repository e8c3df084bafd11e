#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include "lab/sim/experiment_file.h"

namespace walnutspur::lab::sim {
namespace {

using config::Key;
using config::Kind;

constexpr double kMaxTextLength = 64;
constexpr double kMaxWeight = 1e6;

// Returns the declaration of a floating-point key.
Key Number(const char* name, double minimum, double maximum, const char* unit, const char* default_value,
           const char* description) {
  return {name, Kind::kNumber, minimum, maximum, unit, default_value, {}, false, description};
}
// Returns the declaration of a duration key with a value of 0 to `maximum` seconds.
Key Seconds(const char* name, double maximum, const char* default_value, const char* description) {
  return Number(name, 0, maximum, "s", default_value, description);
}
// Returns the declaration of a duration key with a value of 0 to `maximum` milliseconds.
Key Milliseconds(const char* name, double maximum, const char* default_value, const char* description) {
  return Number(name, 0, maximum, "ms", default_value, description);
}
// Returns the declaration of a key whose value is a fraction or a probability, 0 to 1.
Key Fraction(const char* name, const char* default_value, const char* description) {
  return Number(name, 0, 1, "", default_value, description);
}
// Returns the declaration of a key whose value is a weight relative to others of its kind.
Key Weight(const char* name, const char* default_value, const char* description) {
  return Number(name, 0, kMaxWeight, "", default_value, description);
}
// Returns the declaration of an integer key.
Key Integer(const char* name, double minimum, double maximum, const char* unit, const char* default_value,
            const char* description) {
  return {name, Kind::kInteger, minimum, maximum, unit, default_value, {}, false, description};
}
// Returns the declaration of a text key whose value must be in `allowed`.
Key Word(const char* name, const char* default_value, std::vector<std::string> allowed,
         const char* description) {
  return {name, Kind::kText, 0, kMaxTextLength, "", default_value, std::move(allowed), false, description};
}
// Returns the declaration of a required key whose value is a name.
Key Name(const char* name, const char* description) {
  return {name, Kind::kText, 1, kMaxTextLength, "", "", {}, true, description};
}

// Keys of the run.
std::vector<Key> RunKeys() {
  return {
      Integer("seed", 0, 9e15, "", "1", "seed of all random draws"),
      Number("length_s", 0.1, 86400, "s", "60.0", "duration of the load"),
      Word("policy", "\"walnutspur\"", {"walnutspur", "at-once", "buckets", "least-out"},
           "scheduling policy: the scheduler (walnutspur) or a baseline"),
  };
}

// Keys of initiators and storage servers.
std::vector<Key> FleetKeys() {
  return {
      Integer("fleet.initiators", 1, 5000, "", "5", "number of initiators"),
      Number("fleet.clock_drift", 0, 0.01, "", "0.0",
             "maximum fraction by which the clock of an initiator runs fast or slow"),
      Integer("boxes.count", 1, 5000, "", "20", "number of boxes (storage servers), one per shard"),
      Integer("boxes.zones", 1, 100, "", "2", "number of zones; boxes are assigned to zones in turn"),
      Integer("boxes.slots", 1, 1024, "", "4", "requests that a box works on concurrently"),
      Integer("boxes.queue", 0, 100000, "", "32",
              "maximum length of the queue of a box; further requests are rejected"),
      Number("boxes.unit_ms", 0.01, 1000, "ms", "4.0", "time that one slot needs for one unit"),
      Number("boxes.speed_spread", 0, 0.9, "", "0.2",
             "maximum fraction by which a box is faster or slower than average"),
      Seconds("boxes.pause_every_s", 3600, "0.0", "mean time between the pauses of a box; 0: no pauses"),
      Milliseconds("boxes.pause_ms", 60000, "0.0", "mean duration of a pause of a box"),
  };
}

// Keys of network and discovery.
std::vector<Key> NetworkKeys() {
  return {
      Milliseconds("network.delay_ms", 10000, "0.3", "minimum one-way network delay"),
      Milliseconds("network.jitter_ms", 10000, "0.2",
                   "maximum extra one-way network delay, uniformly distributed"),
      Fraction("network.reorder", "0.0", "fraction of the messages that take ten times as long"),
      Fraction("network.loss", "0.0", "fraction of the requests during which the connection breaks"),
      Milliseconds("discovery.delay_ms", 60000, "100.0",
                   "minimum delay until an initiator is notified of a change"),
      Milliseconds("discovery.jitter_ms", 60000, "100.0",
                   "maximum extra notification delay, uniformly distributed for each initiator"),
  };
}

// Keys of the load.
std::vector<Key> LoadKeys() {
  return {
      Number("load.part", 0, 10, "", "0.6", "initial load as a fraction of the capacity of all boxes"),
      Number("load.rate", 0, 1e7, "requests a second", "0.0",
             "initial request rate of the fleet; replaces load.part if greater than 0"),
      Number("load.ramp_to", 0, 100, "", "1.0",
             "final request rate as a multiple of the initial one; the rate changes linearly"),
      Number("load.zipf", 0, 5, "", "0.8",
             "exponent of the Zipf distribution of requests over the volumes of a plan"),
      Fraction("load.fresh", "0.2", "fraction of the writes that place new objects"),
      Fraction("load.reread", "0.3", "fraction of the reads that go to recently placed objects"),
      Number("load.pieces", 1, 1e9, "", "4096.0", "number of objects of a volume"),
      Number("load.largest_units", 1, 1e6, "units", "16.0", "maximum size of a request"),
  };
}

// Keys of the scheduler's settings.
std::vector<Key> RulesKeys() {
  return {
      Integer("rules.try_limit", 1, 10, "", "3", "maximum number of attempts of a request"),
      Milliseconds("rules.drain_grace_ms", 60000, "500.0",
                   "time after a drain notification during which attempts may still be sent to the box"),
      Number("rules.cold_share", 0.01, 1, "", "0.25", "fraction of its full speed at which a box starts"),
      Seconds("rules.warm_up_s", 3600, "4.0", "time from the start of a box until it reaches full speed"),
      Number("rules.tip_multiple", 1, 100, "", "2.0",
             "load, as a multiple of its current speed, at which a box in slow start crashes"),
      Number("rules.overload_for_s", 0.01, 60, "s", "1.0", "time over which that load is measured"),
  };
}

// Keys of request classes and plans.
std::vector<Key> TenantKeys() {
  return {
      Name("class[].name", "name of the request class"),
      Number("class[].aim_ms", 0.1, 600000, "ms", "120.0",
             "latency objective; a response within this time counts with the full priority weight "
             "(class[].worth)"),
      Number("class[].deadline_ms", 0.1, 600000, "ms", "2000.0", "time that a client waits for the response"),
      Word("class[].effect", "\"safe\"", {"safe", "unsafe"},
           "whether a request may run twice (safe) or not (unsafe)"),
      Weight("class[].worth", "1.0",
             "priority weight of a request that is served within the latency objective"),
      Fraction("class[].late_worth", "0.2",
               "fraction of the priority weight (class[].worth) that counts for a response after the latency "
               "objective"),
      Weight("class[].share", "1.0", "share of the requests, relative to the other classes"),
      Number("class[].units", 0.5, 1e6, "units", "1.0", "mean size of a request"),
      Name("plan[].name", "name of the plan"),
      Integer("plan[].volumes", 1, 100000, "", "40", "number of volumes of the plan"),
      Weight("plan[].weight", "1.0", "share of the requests, relative to the other plans"),
      Number("plan[].reserve", 0, 10, "", "0.5",
             "guaranteed rate of a volume, as a fraction of the mean rate (units/s) of the plan's volumes"),
  };
}

// Keys of faults.
std::vector<Key> FaultKeys() {
  std::vector<std::string> kinds;
  kinds.reserve(kFaultKinds.size());
  for (const FaultKind kind : kFaultKinds) {
    kinds.emplace_back(NameOf(kind));
  }
  Key kind = Word("fault[].kind", "", std::move(kinds), "kind of the fault");
  kind.required = true;
  return {
      kind,
      Seconds("fault[].at_s", 86400, "0.0", "start of the fault, after the start of the load"),
      Seconds("fault[].for_s", 86400, "10.0", "duration of the fault for each target"),
      Integer("fault[].first", 0, 5000, "", "0",
              "index of the first box; for cut: of the zone; for surge: of the plan"),
      Integer("fault[].count", 1, 5000, "", "1", "number of consecutive targets"),
      Number("fault[].factor", 0, 100, "", "0.3",
             "by kind: remaining speed, error probability, fraction of slots taken, or multiple of the rate"),
      Seconds("fault[].apart_s", 3600, "0.0", "time between the starts of the fault for consecutive targets"),
  };
}

}  // namespace

const std::vector<Key>& ExperimentKeys() {
  static const std::vector<Key> keys = [] {
    std::vector<Key> all;
    for (std::vector<Key>& group : std::vector<std::vector<Key>>{
             RunKeys(), FleetKeys(), NetworkKeys(), LoadKeys(), RulesKeys(), TenantKeys(), FaultKeys()}) {
      all.insert(all.end(), std::make_move_iterator(group.begin()), std::make_move_iterator(group.end()));
    }
    return all;
  }();
  return keys;
}

}  // namespace walnutspur::lab::sim
