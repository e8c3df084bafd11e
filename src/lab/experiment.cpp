#include "lab/experiment.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <limits>
#include <set>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace walnutspur::lab {
namespace {

using config::Key;
using config::Kind;

constexpr double kSecond = 1e6;
constexpr std::array<std::pair<Trouble, const char*>, 10> kTroubles = {{{Trouble::kSlow, "slow"},
                                                                        {Trouble::kFreeze, "freeze"},
                                                                        {Trouble::kErrors, "errors"},
                                                                        {Trouble::kNeighbour, "neighbour"},
                                                                        {Trouble::kCut, "cut"},
                                                                        {Trouble::kRestart, "restart"},
                                                                        {Trouble::kReplace, "replace"},
                                                                        {Trouble::kSilence, "silence"},
                                                                        {Trouble::kDeaf, "deaf"},
                                                                        {Trouble::kSurge, "surge"}}};

Key Number(const char* path, double least, double most, const char* unit, const char* fallback,
           const char* about) {
  return {path, Kind::kNumber, least, most, unit, fallback, {}, false, about};
}
Key Integer(const char* path, double least, double most, const char* unit, const char* fallback,
            const char* about) {
  return {path, Kind::kInteger, least, most, unit, fallback, {}, false, about};
}
Key Word(const char* path, const char* fallback, std::vector<std::string> words, const char* about) {
  return {path, Kind::kText, 0, 64, "", fallback, std::move(words), false, about};
}
Key Name(const char* path, const char* about) { return {path, Kind::kText, 1, 64, "", "", {}, true, about}; }

Time Micros(double seconds) { return static_cast<Time>(std::llround(seconds * kSecond)); }

}  // namespace

const char* NameOf(Trouble trouble) {
  for (const auto& [known, name] : kTroubles) {
    if (known == trouble) {
      return name;
    }
  }
  return "";
}

const std::vector<Key>& ExperimentKeys() {
  static const std::vector<Key> keys = [] {
    std::vector<std::string> troubles;
    for (const auto& [trouble, name] : kTroubles) {
      troubles.emplace_back(name);
    }
    Key fault = Word("fault[].kind", "", troubles, "what goes wrong");
    fault.needed = true;
    return std::vector<Key>{
        Integer("seed", 0, 9e15, "", "1", "of all chance"),
        Number("length_s", 0.1, 86400, "s", "60.0", "of the run"),
        Word("policy", "\"walnutspur\"", {"walnutspur", "at-once", "buckets", "least-out"},
             "whose decisions: the module's, or a baseline's"),
        Integer("fleet.initiators", 1, 5000, "", "5", "how many"),
        Number("fleet.clock_drift", 0, 0.01, "", "0.0", "part by which clocks run fast or slow, at most"),
        Integer("boxes.count", 1, 5000, "", "20", "one for each cell"),
        Integer("boxes.zones", 1, 100, "", "2", "boxes take turns in them"),
        Integer("boxes.slots", 1, 1024, "", "4", "requests in work at once"),
        Integer("boxes.queue", 0, 100000, "", "32", "requests that wait; beyond, a box is full"),
        Number("boxes.unit_ms", 0.01, 1000, "ms", "4.0", "of one slot's work for a unit"),
        Number("boxes.speed_spread", 0, 0.9, "", "0.2", "boxes are so much faster or slower, at most"),
        Number("boxes.pause_every_s", 0, 3600, "s", "0.0", "mean time between pauses; 0: none"),
        Number("boxes.pause_ms", 0, 60000, "ms", "0.0", "mean length of a pause"),
        Number("network.delay_ms", 0, 10000, "ms", "0.3", "one way"),
        Number("network.jitter_ms", 0, 10000, "ms", "0.2", "on top, evenly"),
        Number("network.reorder", 0, 1, "", "0.0", "part of the messages that take ten times as long"),
        Number("network.loss", 0, 1, "", "0.0", "part of the messages whose connection breaks under them"),
        Number("discovery.delay_ms", 0, 60000, "ms", "100.0", "until news are told"),
        Number("discovery.jitter_ms", 0, 60000, "ms", "100.0", "on top, evenly, for each initiator"),
        Number("load.part", 0, 10, "", "0.6", "of what the boxes can do"),
        Number("load.rate", 0, 1e7, "requests a second", "0.0",
               "of the whole fleet; over 0: in place of part"),
        Number("load.ramp_to", 0, 100, "", "1.0", "it grows evenly to so many times as much"),
        Number("load.zipf", 0, 5, "", "0.8", "exponent over the volumes of a plan"),
        Number("load.fresh", 0, 1, "", "0.2", "part of the writes that place new objects"),
        Number("load.reread", 0, 1, "", "0.3", "part of the reads that go to objects placed lately"),
        Number("load.pieces", 1, 1e9, "", "4096.0", "of a volume"),
        Number("load.largest_units", 1, 1e6, "units", "16.0", "of a request"),
        Integer("rules.try_limit", 1, 10, "", "3", "attempts of a request"),
        Number("rules.drain_grace_ms", 0, 60000, "ms", "500.0", "after the notice nothing new goes to a box"),
        Number("rules.cold_share", 0.01, 1, "", "0.25", "of its speed that a box starts with"),
        Number("rules.warm_up_s", 0, 3600, "s", "4.0", "until it has all of it"),
        Number("rules.tip_multiple", 1, 100, "", "2.0", "of a cold box's speed, which topples it"),
        Number("rules.overload_for_s", 0.01, 60, "s", "1.0", "if it lasts so long"),
        Name("class[].name", "of a class of requests"),
        Number("class[].aim_ms", 0.1, 600000, "ms", "120.0", "an answer in this time earns the full worth"),
        Number("class[].deadline_ms", 0.1, 600000, "ms", "2000.0", "what a client waits"),
        Word("class[].effect", "\"safe\"", {"safe", "unsafe"}, "whether it may run twice"),
        Number("class[].worth", 0, 1e6, "", "1.0", "of one that is served in time"),
        Number("class[].late_worth", 0, 1, "", "0.2", "part of it that a late answer earns"),
        Number("class[].share", 0, 1e6, "", "1.0", "of the requests, against the other classes"),
        Number("class[].units", 0.5, 1e6, "units", "1.0", "mean of a request"),
        Name("plan[].name", "of a plan"),
        Integer("plan[].volumes", 1, 100000, "", "40", "that stand on it"),
        Number("plan[].weight", 0, 1e6, "", "1.0", "of the requests, against the other plans"),
        Number("plan[].reserve", 0, 10, "", "0.5", "of what its volumes usually ask"),
        fault,
        Number("fault[].at_s", 0, 86400, "s", "0.0", "when it begins"),
        Number("fault[].for_s", 0, 86400, "s", "10.0", "how long it lasts"),
        Integer("fault[].first", 0, 5000, "", "0", "the first box; cut: the zone; surge: the plan"),
        Integer("fault[].count", 1, 5000, "", "1", "how many boxes"),
        Number("fault[].factor", 0, 100, "", "0.3", "speed left, part taken, or multiple asked"),
        Number("fault[].apart_s", 0, 3600, "s", "0.0", "from one box's beginning to the next one's"),
    };
  }();
  return keys;
}

namespace {

// What no single key can say.
std::string Contradiction(const Experiment& e, const config::Table& root) {
  const auto at = [](const config::Table& table, const char* key) {
    const auto line = table.lines.find(key);
    return line == table.lines.end() ? std::string() : std::to_string(line->second) + ": ";
  };
  std::set<std::string> names;
  for (const ClassPlan& c : e.classes) {
    if (!names.insert(c.name).second) {
      return "class '" + c.name + "' is there twice";
    }
    if (c.cls.latency_objective > c.cls.deadline) {
      return "class '" + c.name + "': its aim is over its deadline";
    }
  }
  names.clear();
  for (const TenantPlan& p : e.tenants) {
    if (!names.insert(p.name).second) {
      return "plan '" + p.name + "' is there twice";
    }
  }
  const auto tables = root.tables.find("fault");
  for (std::size_t i = 0; i < e.faults.size(); ++i) {
    const FaultPlan& f = e.faults[i];
    const std::string line = tables == root.tables.end() ? "" : at(tables->second[i], "kind");
    const std::string what = line + "fault " + NameOf(f.trouble) + ": ";
    const int most = f.trouble == Trouble::kCut     ? e.zones
                     : f.trouble == Trouble::kSurge ? static_cast<int>(e.tenants.size())
                                                    : e.boxes;
    if (f.trouble != Trouble::kDeaf && f.first + f.count > most) {
      return what + "it names " + std::to_string(f.first + f.count) + " of " + std::to_string(most);
    }
    if (f.at >= e.length) {
      return what + "it begins after the end";
    }
    for (std::size_t j = 0; j < i; ++j) {  // a box cannot end twice at once
      const FaultPlan& g = e.faults[j];
      const auto ends = [](Trouble t) { return t == Trouble::kRestart || t == Trouble::kReplace; };
      if (!ends(f.trouble) || !ends(g.trouble)) {
        continue;
      }
      const bool same = f.first < g.first + g.count && g.first < f.first + f.count;
      const Time f_end = f.at + f.lasts + f.apart * f.count;
      const Time g_end = g.at + g.lasts + g.apart * g.count;
      if (same && f.at < g_end && g.at < f_end) {
        return what + "it contradicts the fault " + NameOf(g.trouble) +
               " before it, of the same boxes at the same time";
      }
    }
  }
  return "";
}

}  // namespace

Experiment ParseExperiment(const std::string& text, const std::string& file) {
  const config::Document document = config::Read(text, ExperimentKeys());
  if (!document.problems.empty()) {
    throw std::runtime_error(config::Line(file, document.problems.front()));
  }
  const config::Table& root = document.root;
  const auto millis = [](const config::Table& t, const char* key) { return Micros(t.Number(key) / 1000); };
  const auto seconds = [](const config::Table& t, const char* key) { return Micros(t.Number(key)); };
  const auto count = [](const config::Table& t, const char* key) { return static_cast<int>(t.Integer(key)); };
  const auto tables = [&](const char* name) {
    const auto at = root.tables.find(name);
    return at == root.tables.end() ? std::vector<config::Table>() : at->second;
  };
  Experiment e;
  e.seed = static_cast<std::uint64_t>(root.Integer("seed"));
  e.length = seconds(root, "length_s");
  e.policy = root.Text("policy");
  e.initiators = count(root, "fleet.initiators");
  e.drift = root.Number("fleet.clock_drift");
  e.boxes = count(root, "boxes.count");
  e.zones = count(root, "boxes.zones");
  e.slots = count(root, "boxes.slots");
  e.queue = count(root, "boxes.queue");
  e.unit = millis(root, "boxes.unit_ms");
  e.speed_spread = root.Number("boxes.speed_spread");
  e.pause_every = seconds(root, "boxes.pause_every_s");
  e.pause = millis(root, "boxes.pause_ms");
  e.delay = millis(root, "network.delay_ms");
  e.jitter = millis(root, "network.jitter_ms");
  e.reorder = root.Number("network.reorder");
  e.loss = root.Number("network.loss");
  e.list_delay = millis(root, "discovery.delay_ms");
  e.list_jitter = millis(root, "discovery.jitter_ms");
  e.load = root.Number("load.part");
  e.rate = root.Number("load.rate");
  e.ramp_to = root.Number("load.ramp_to");
  e.zipf = root.Number("load.zipf");
  e.fresh = root.Number("load.fresh");
  e.reread = root.Number("load.reread");
  e.pieces = root.Number("load.pieces");
  e.largest_units = root.Number("load.largest_units");
  e.try_limit = count(root, "rules.try_limit");
  e.rules.poll_interval = 10'000'000;
  e.rules.drain_grace = millis(root, "rules.drain_grace_ms");
  e.rules.answer_grace = 8'000;
  e.rules.slow_start_fraction = root.Number("rules.cold_share");
  e.rules.slow_start_duration = seconds(root, "rules.warm_up_s");
  e.rules.overload_threshold = root.Number("rules.tip_multiple");
  e.rules.overload_window = seconds(root, "rules.overload_for_s");
  for (const config::Table& t : tables("class")) {
    ClassPlan c;
    c.name = t.Text("name");
    c.cls.latency_objective = millis(t, "aim_ms");
    c.cls.deadline = millis(t, "deadline_ms");
    c.writes = t.Text("effect") == "unsafe";
    c.cls.idempotency = c.writes ? Idempotency::kNotIdempotent : Idempotency::kIdempotent;
    c.cls.priority_weight = t.Number("worth");
    c.cls.late_weight_fraction = t.Number("late_worth");
    c.share = t.Number("share");
    c.units = t.Number("units");
    e.classes.push_back(c);
  }
  if (e.classes.empty()) {
    ClassPlan read;
    ClassPlan write;
    read.name = "read";
    read.cls.latency_objective = 120'000;
    read.cls.deadline = 2'000'000;
    read.cls.late_weight_fraction = 0.2;
    read.share = 3;
    write = read;
    write.name = "write";
    write.cls.idempotency = Idempotency::kNotIdempotent;
    write.writes = true;
    write.share = 1;
    e.classes = {read, write};
  }
  for (const config::Table& t : tables("plan")) {
    TenantPlan p;
    p.name = t.Text("name");
    p.volumes = count(t, "volumes");
    p.weight = t.Number("weight");
    p.reserve = t.Number("reserve");
    e.tenants.push_back(p);
  }
  if (e.tenants.empty()) {
    TenantPlan p;
    p.name = "usual";
    p.volumes = 4 * e.boxes;
    e.tenants = {p};
  }
  for (const config::Table& t : tables("fault")) {
    FaultPlan f;
    for (const auto& [trouble, name] : kTroubles) {
      if (t.Text("kind") == name) {
        f.trouble = trouble;
      }
    }
    f.at = seconds(t, "at_s");
    f.lasts = seconds(t, "for_s");
    f.first = count(t, "first");
    f.count = count(t, "count");
    f.factor = t.Number("factor");
    f.apart = seconds(t, "apart_s");
    e.faults.push_back(f);
  }
  const std::string wrong = Contradiction(e, root);
  if (!wrong.empty()) {
    throw std::runtime_error(file + ":" + (std::isdigit(wrong[0]) ? "" : " ") + wrong);
  }
  return e;
}

Experiment LoadExperiment(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw std::runtime_error("cannot read " + path);
  }
  std::stringstream text;
  text << file.rdbuf();
  return ParseExperiment(text.str(), path);
}

double Experiment::MeanUnits() const {
  double units = 0;
  double shares = 0;
  for (const ClassPlan& c : classes) {
    units += c.share * c.units, shares += c.share;
  }
  return shares > 0 ? units / shares : 1;
}

double Experiment::RequestsASecond() const { return rate > 0 ? rate : load * boxes * power() / MeanUnits(); }

walnutspur::Settings Experiment::SettingsOf() const {
  walnutspur::Settings s;
  s.instances = initiators;
  s.discovery = DiscoveryMode::kSubscribe;
  for (const ClassPlan& c : classes) {
    s.classes.push_back(c.cls);
  }
  double weights = 0;
  for (const TenantPlan& p : tenants) {
    weights += p.weight;
  }
  for (const TenantPlan& p : tenants) {  // what a volume of it usually asks
    Plan plan;
    plan.rate =
        std::max(1e-3, RequestsASecond() * MeanUnits() * p.weight / std::max(weights, 1e-9) / p.volumes);
    plan.reserved_rate = p.reserve * plan.rate;
    s.plans.push_back(plan);
  }
  s.rules = rules;
  s.max_attempts = try_limit;
  s.can_cancel = true;
  s.max_retry_after = 500'000;
  s.sends_retry_after = true;
  s.mean_request_units = MeanUnits();
  s.max_request_units = largest_units;
  // What a cold box bears of all initiators together without toppling, less a tenth.
  s.slow_start_units = 0.9 * rules.slow_start_fraction * power() * rules.overload_threshold *
                       static_cast<double>(rules.overload_window) / 1e6;
  s.fair_share_weight = 0.35;
  s.excess_weight = 0.08;
  return s;
}

std::string Write(const Experiment& e) {
  std::ostringstream out;
  const auto s = [](Time time) { return static_cast<double>(time) / kSecond; };
  const auto ms = [](Time time) { return static_cast<double>(time) / 1000; };
  out.precision(std::numeric_limits<double>::max_digits10);
  out << std::showpoint << "seed = " << e.seed << "\nlength_s = " << s(e.length) << "\npolicy = \""
      << e.policy << "\"\n[fleet]\ninitiators = " << e.initiators << "\nclock_drift = " << e.drift
      << "\n[boxes]\ncount = " << e.boxes << "\nzones = " << e.zones << "\nslots = " << e.slots
      << "\nqueue = " << e.queue << "\nunit_ms = " << ms(e.unit) << "\nspeed_spread = " << e.speed_spread
      << "\npause_every_s = " << s(e.pause_every) << "\npause_ms = " << ms(e.pause)
      << "\n[network]\ndelay_ms = " << ms(e.delay) << "\njitter_ms = " << ms(e.jitter)
      << "\nreorder = " << e.reorder << "\nloss = " << e.loss
      << "\n[discovery]\ndelay_ms = " << ms(e.list_delay) << "\njitter_ms = " << ms(e.list_jitter)
      << "\n[load]\npart = " << e.load << "\nrate = " << e.rate << "\nramp_to = " << e.ramp_to
      << "\nzipf = " << e.zipf << "\nfresh = " << e.fresh << "\nreread = " << e.reread
      << "\npieces = " << e.pieces << "\nlargest_units = " << e.largest_units
      << "\n[rules]\ntry_limit = " << e.try_limit << "\ndrain_grace_ms = " << ms(e.rules.drain_grace)
      << "\ncold_share = " << e.rules.slow_start_fraction
      << "\nwarm_up_s = " << s(e.rules.slow_start_duration)
      << "\ntip_multiple = " << e.rules.overload_threshold
      << "\noverload_for_s = " << s(e.rules.overload_window) << "\n";
  for (const ClassPlan& c : e.classes) {
    out << "[[class]]\nname = \"" << c.name << "\"\naim_ms = " << ms(c.cls.latency_objective)
        << "\ndeadline_ms = " << ms(c.cls.deadline) << "\neffect = \"" << (c.writes ? "unsafe" : "safe")
        << "\"\nworth = " << c.cls.priority_weight << "\nlate_worth = " << c.cls.late_weight_fraction
        << "\nshare = " << c.share << "\nunits = " << c.units << "\n";
  }
  for (const TenantPlan& p : e.tenants) {
    out << "[[plan]]\nname = \"" << p.name << "\"\nvolumes = " << p.volumes << "\nweight = " << p.weight
        << "\nreserve = " << p.reserve << "\n";
  }
  for (const FaultPlan& f : e.faults) {
    out << "[[fault]]\nkind = \"" << NameOf(f.trouble) << "\"\nat_s = " << s(f.at)
        << "\nfor_s = " << s(f.lasts) << "\nfirst = " << f.first << "\ncount = " << f.count
        << "\nfactor = " << f.factor << "\napart_s = " << s(f.apart) << "\n";
  }
  return out.str();
}

}  // namespace walnutspur::lab
