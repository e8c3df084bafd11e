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

// A key with a number.
Key Number(const char* name, double minimum, double maximum, const char* unit, const char* default_value,
           const char* description) {
  return {name, Kind::kNumber, minimum, maximum, unit, default_value, {}, false, description};
}
// A key with a span of at most `maximum`.
Key Seconds(const char* name, double maximum, const char* default_value, const char* description) {
  return Number(name, 0, maximum, "s", default_value, description);
}
Key Milliseconds(const char* name, double maximum, const char* default_value, const char* description) {
  return Number(name, 0, maximum, "ms", default_value, description);
}
// A key with a part of something, or a probability: from 0 to 1.
Key Fraction(const char* name, const char* default_value, const char* description) {
  return Number(name, 0, 1, "", default_value, description);
}
// A key with a weight relative to others of its kind.
Key Weight(const char* name, const char* default_value, const char* description) {
  return Number(name, 0, kMaxWeight, "", default_value, description);
}
// A key with an integer.
Key Integer(const char* name, double minimum, double maximum, const char* unit, const char* default_value,
            const char* description) {
  return {name, Kind::kInteger, minimum, maximum, unit, default_value, {}, false, description};
}
// A key with one of the words `allowed`.
Key Word(const char* name, const char* default_value, std::vector<std::string> allowed,
         const char* description) {
  return {name, Kind::kText, 0, kMaxTextLength, "", default_value, std::move(allowed), false, description};
}
// A required key with a name.
Key Name(const char* name, const char* description) {
  return {name, Kind::kText, 1, kMaxTextLength, "", "", {}, true, description};
}

// Keys of the run.
std::vector<Key> RunKeys() {
  return {
      Integer("seed", 0, 9e15, "", "1", "of all chance"),
      Number("length_s", 0.1, 86400, "s", "60.0", "of the run"),
      Word("policy", "\"walnutspur\"", {"walnutspur", "at-once", "buckets", "least-out"},
           "whose decisions: the module's, or a baseline's"),
  };
}

// Keys of initiators and storage servers.
std::vector<Key> FleetKeys() {
  return {
      Integer("fleet.initiators", 1, 5000, "", "5", "how many"),
      Number("fleet.clock_drift", 0, 0.01, "", "0.0", "part by which clocks run fast or slow, at most"),
      Integer("boxes.count", 1, 5000, "", "20", "one for each cell"),
      Integer("boxes.zones", 1, 100, "", "2", "boxes take turns in them"),
      Integer("boxes.slots", 1, 1024, "", "4", "requests in work at once"),
      Integer("boxes.queue", 0, 100000, "", "32", "requests that wait; beyond, a box is full"),
      Number("boxes.unit_ms", 0.01, 1000, "ms", "4.0", "of one slot's work for a unit"),
      Number("boxes.speed_spread", 0, 0.9, "", "0.2", "boxes are so much faster or slower, at most"),
      Seconds("boxes.pause_every_s", 3600, "0.0", "mean time between pauses; 0: none"),
      Milliseconds("boxes.pause_ms", 60000, "0.0", "mean length of a pause"),
  };
}

// Keys of network and discovery.
std::vector<Key> NetworkKeys() {
  return {
      Milliseconds("network.delay_ms", 10000, "0.3", "one way"),
      Milliseconds("network.jitter_ms", 10000, "0.2", "on top, evenly"),
      Fraction("network.reorder", "0.0", "part of the messages that take ten times as long"),
      Fraction("network.loss", "0.0", "part of the messages whose connection breaks under them"),
      Milliseconds("discovery.delay_ms", 60000, "100.0", "until news are told"),
      Milliseconds("discovery.jitter_ms", 60000, "100.0", "on top, evenly, for each initiator"),
  };
}

// Keys of the load.
std::vector<Key> LoadKeys() {
  return {
      Number("load.part", 0, 10, "", "0.6", "of what the boxes can do"),
      Number("load.rate", 0, 1e7, "requests a second", "0.0", "of the whole fleet; over 0: in place of part"),
      Number("load.ramp_to", 0, 100, "", "1.0", "it grows evenly to so many times as much"),
      Number("load.zipf", 0, 5, "", "0.8", "exponent over the volumes of a plan"),
      Fraction("load.fresh", "0.2", "part of the writes that place new objects"),
      Fraction("load.reread", "0.3", "part of the reads that go to objects placed lately"),
      Number("load.pieces", 1, 1e9, "", "4096.0", "of a volume"),
      Number("load.largest_units", 1, 1e6, "units", "16.0", "of a request"),
  };
}

// Keys of the scheduler's settings.
std::vector<Key> RulesKeys() {
  return {
      Integer("rules.try_limit", 1, 10, "", "3", "attempts of a request"),
      Milliseconds("rules.drain_grace_ms", 60000, "500.0", "after the notice nothing new goes to a box"),
      Number("rules.cold_share", 0.01, 1, "", "0.25", "of its speed that a box starts with"),
      Seconds("rules.warm_up_s", 3600, "4.0", "until it has all of it"),
      Number("rules.tip_multiple", 1, 100, "", "2.0", "of a cold box's speed, which topples it"),
      Number("rules.overload_for_s", 0.01, 60, "s", "1.0", "if it lasts so long"),
  };
}

// Keys of request classes and plans.
std::vector<Key> TenantKeys() {
  return {
      Name("class[].name", "of a class of requests"),
      Number("class[].aim_ms", 0.1, 600000, "ms", "120.0", "an answer in this time earns the full worth"),
      Number("class[].deadline_ms", 0.1, 600000, "ms", "2000.0", "what a client waits"),
      Word("class[].effect", "\"safe\"", {"safe", "unsafe"}, "whether it may run twice"),
      Weight("class[].worth", "1.0", "of one that is served in time"),
      Fraction("class[].late_worth", "0.2", "part of it that a late answer earns"),
      Weight("class[].share", "1.0", "of the requests, against the other classes"),
      Number("class[].units", 0.5, 1e6, "units", "1.0", "mean of a request"),
      Name("plan[].name", "of a plan"),
      Integer("plan[].volumes", 1, 100000, "", "40", "that stand on it"),
      Weight("plan[].weight", "1.0", "of the requests, against the other plans"),
      Number("plan[].reserve", 0, 10, "", "0.5", "of what its volumes usually ask"),
  };
}

// Keys of faults.
std::vector<Key> FaultKeys() {
  std::vector<std::string> kinds;
  kinds.reserve(kFaultKinds.size());
  for (const FaultKind kind : kFaultKinds) {
    kinds.emplace_back(NameOf(kind));
  }
  Key kind = Word("fault[].kind", "", std::move(kinds), "what goes wrong");
  kind.required = true;
  return {
      kind,
      Seconds("fault[].at_s", 86400, "0.0", "when it begins"),
      Seconds("fault[].for_s", 86400, "10.0", "how long it lasts"),
      Integer("fault[].first", 0, 5000, "", "0", "the first box; cut: the zone; surge: the plan"),
      Integer("fault[].count", 1, 5000, "", "1", "how many boxes"),
      Number("fault[].factor", 0, 100, "", "0.3", "speed left, part taken, or multiple asked"),
      Seconds("fault[].apart_s", 3600, "0.0", "from one box's beginning to the next one's"),
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
