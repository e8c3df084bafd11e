#include "simulator/wire.h"

#include <stdexcept>
#include <utility>

namespace walnutspur::wire {
namespace {

using nlohmann::json;

// An absent value is null on this wire, and optional keys may be missing altogether.
template <typename T>
T Or(const json& object, const char* key, T fallback) {
  const auto it = object.find(key);
  return it == object.end() || it->is_null() ? fallback : it->get<T>();
}

template <typename T>
T Need(const json& object, const char* key) {
  const auto it = object.find(key);
  if (it == object.end() || it->is_null())
    throw std::runtime_error("missing field '" + std::string(key) + "'");
  return it->get<T>();
}

template <typename T>
std::optional<T> Maybe(const json& object, const char* key) {
  const auto it = object.find(key);
  if (it == object.end() || it->is_null()) return std::nullopt;
  return it->get<T>();
}

template <typename T>
T Named(const std::string& name, const std::vector<std::pair<const char*, T>>& names) {
  for (const auto& [text, value] : names) {
    if (name == text) return value;
  }
  throw std::runtime_error("unknown word '" + name + "'");
}

Effect ParseEffect(const std::string& name) {
  return Named<Effect>(name,
                       {{"safe", Effect::kSafe}, {"keyed", Effect::kKeyed}, {"unsafe", Effect::kUnsafe}});
}

Group ParseGroup(const std::string& name) {
  return Named<Group>(name, {{"all", Group::kAll}, {"zone", Group::kZone}, {"cell", Group::kCell}});
}

Phase ParsePhase(const std::string& name) {
  return Named<Phase>(name,
                      {{"live", Phase::kLive}, {"quiescing", Phase::kQuiescing}, {"dead", Phase::kDead}});
}

Mode ParseMode(const std::string& name) {
  return Named<Mode>(
      name,
      {{"delta", Mode::kDelta}, {"full", Mode::kFull}, {"cached", Mode::kCached}, {"failed", Mode::kFailed}});
}

Discovery ParseDiscovery(const std::string& name) {
  return Named<Discovery>(name, {{"automatic", Discovery::kAutomatic}, {"subscribe", Discovery::kSubscribe}});
}

Outcome ParseOutcome(const std::string& name) {
  return Named<Outcome>(name, {{"completed", Outcome::kCompleted},
                               {"errored", Outcome::kErrored},
                               {"saturated", Outcome::kSaturated},
                               {"overdue", Outcome::kOverdue},
                               {"refused_conn", Outcome::kRefusedConn},
                               {"severed", Outcome::kSevered},
                               {"recalled", Outcome::kRecalled},
                               {"superseded", Outcome::kSuperseded}});
}

std::vector<double> ParseReport(const json& event) {
  std::vector<double> report;
  const auto it = event.find("healthInfo");
  if (it == event.end() || it->is_null()) return report;
  for (const json& value : *it) report.push_back(value.is_null() ? 0.0 : value.get<double>());
  return report;
}

RequestClass ParseClass(const json& j) {
  RequestClass c;
  c.aim = Need<Time>(j, "aim");
  c.deadline = Need<Time>(j, "deadline");
  c.effect = ParseEffect(Need<std::string>(j, "effect"));
  c.group = ParseGroup(Or<std::string>(j, "group", "all"));
  c.memory_span = Or<Time>(j, "memorySpan", 0);
  c.worth = Or(j, "worth", c.worth);
  c.late_worth = Or(j, "lateWorth", c.late_worth);
  c.serial_by_key = Or(j, "serialByKey", false);
  return c;
}

Plan ParsePlan(const json& j) {
  Plan p;
  p.rate = Or(j, "rate", p.rate);
  p.floor_rate = Or(j, "floorRate", p.floor_rate);
  p.limit = Or(j, "limit", p.limit);
  p.burst = Or(j, "burst", p.burst);
  p.parts = Or(j, "parts", p.parts);
  p.value_factor = Or(j, "valueFactor", p.value_factor);
  return p;
}

Rules ParseRules(const json& j) {
  Rules r;
  r.ask_every = Or<Time>(j, "askEvery", 0);
  r.drain_grace = Or<Time>(j, "drainGrace", 0);
  r.grace_to_answer = Or<Time>(j, "graceToAnswer", 0);
  r.cold_share = Or(j, "coldShare", r.cold_share);
  r.warm_up = Or<Time>(j, "warmUp", 0);
  r.tip_multiple = Or(j, "tipMultiple", r.tip_multiple);
  r.overload_for = Or<Time>(j, "overloadFor", 0);
  r.key_rest = Maybe<Time>(j, "keyRest");
  r.budget_span = Maybe<Time>(j, "budgetSpan");
  r.further_ratio = Maybe<double>(j, "furtherRatio");
  r.extra_floor = Or(j, "extraFloor", r.extra_floor);
  return r;
}

ListEntry ParseEntry(const json& j) {
  ListEntry e;
  e.target = Need<std::string>(j, "target");
  e.phase = ParsePhase(Need<std::string>(j, "phase"));
  e.cell = Need<int>(j, "cohort");
  e.zone = Or(j, "regionPart", 0);
  e.kind = Or(j, "classOfHost", 0);
  e.scale = Or(j, "scale", 1.0);
  e.launched = Or<Time>(j, "launched", 0);
  return e;
}

Arrival ParseArrival(const json& j) {
  Arrival a;
  a.id = Need<std::string>(j, "tid");
  a.request_class = Need<int>(j, "tierClass");
  a.plan = Or(j, "serviceLevel", 0);
  a.key = Or<std::string>(j, "chunk", "");
  a.volume = Or<std::string>(j, "owner", "");
  a.ttl = Need<Time>(j, "ttl");
  a.units = Or(j, "priceUnits", 1.0);
  a.cell = static_cast<int>(Or(j, "liesIn", -1.0));
  a.mounts = static_cast<int>(Or(j, "mounts", 1.0));
  a.repeat = Or(j, "isRetry", false);
  return a;
}

Done ParseDone(const json& j) {
  Done d;
  d.id = Need<std::string>(j, "tid");
  d.trial = Need<int>(j, "trial");
  d.target = Need<std::string>(j, "target");
  d.outcome = ParseOutcome(Need<std::string>(j, "rc"));
  d.delay = Need<Time>(j, "delaySeen");
  d.settled = Need<bool>(j, "settled");
  d.seen_use = Or(j, "seenUse", 0);
  d.others_got = Or(j, "othersGot", 0.0);
  d.report = ParseReport(j);
  return d;
}

ProbeDone ParseProbe(const json& j) {
  ProbeDone p;
  p.target = Need<std::string>(j, "target");
  p.outcome = ParseOutcome(Need<std::string>(j, "rc"));
  p.delay = Need<Time>(j, "delaySeen");
  p.report = ParseReport(j);
  return p;
}

struct ToJson {
  int instance;
  json operator()(const Send& a) const {
    return {{"op", "send"},
            {"initiatorId", instance},
            {"tid", a.id},
            {"target", a.target},
            {"tryFor", a.try_for}};
  }
  json operator()(const Refuse& a) const {
    return {{"op", "notNow"}, {"initiatorId", instance}, {"tid", a.id}, {"holdOff", a.hold_off}};
  }
  json operator()(const Fail& a) const {
    return {{"op", "giveUp"}, {"initiatorId", instance}, {"tid", a.id}};
  }
  json operator()(const Wake& a) const {
    return {{"op", "wakeMe"}, {"initiatorId", instance}, {"mark", a.mark}, {"sleepFor", a.after}};
  }
  json operator()(const Retract& a) const {
    return {{"op", "retract"}, {"initiatorId", instance}, {"tid", a.id}, {"trial", a.trial}};
  }
  json operator()(const Probe& a) const {
    return {{"op", "sample"}, {"initiatorId", instance}, {"target", a.target}};
  }
  json operator()(const Subscribe&) const {
    return {{"op", "track"}, {"initiatorId", instance}, {"on", true}};
  }
};

}  // namespace

Settings ParseSettings(const json& j) {
  Settings s;
  s.instances = Need<int>(j, "nInstances");
  s.discovery = ParseDiscovery(Or<std::string>(j, "discovery", "automatic"));
  s.granularity = Or<Time>(j, "granularity", 0);
  for (const json& c : Need<json>(j, "classes")) s.classes.push_back(ParseClass(c));
  for (const json& p : Or(j, "policies", json::array())) s.plans.push_back(ParsePlan(p));
  s.rules = ParseRules(Or(j, "rules", json::object()));
  const json limits = Or(j, "limits", json::object());
  s.try_limit = Or(limits, "tryLimit", s.try_limit);
  s.may_cancel = Or(limits, "cancel", s.may_cancel);
  s.may_probe = Or(limits, "probing", s.may_probe);
  s.retry_after = Or(limits, "retryAfter", s.retry_after);
  s.max_retry_after = Or<Time>(limits, "maxRetryAfter", 0);
  const json extra = Or(j, "extra", json::object());
  s.cold_units = Or(extra, "coldUnits", s.cold_units);
  s.usual_units = Or(extra, "usualUnits", s.usual_units);
  s.largest_units = Or(extra, "largest", s.largest_units);
  s.fair_worth = Or(extra, "fairWorth", s.fair_worth);
  s.beyond_worth = Or(extra, "beyondShare", s.beyond_worth);
  s.meter_period = Or<Time>(extra, "meterPeriod", 0);
  s.counts_others = Or(extra, "countsOthers", s.counts_others);
  const json telemetry = Or(j, "telemetry", json::object());
  s.report_fields = Or(telemetry, "fields", std::vector<std::string>{});
  return s;
}

void Host::Play(int instance, const Event& event) {
  const auto it = instances_.find(instance);
  if (it == instances_.end()) return;  // killed: what still names it is stale
  for (const Action& action : it->second.Handle(event, now_)) {
    reply_ += std::visit(ToJson{instance}, action).dump();
    reply_ += '\n';
  }
}

bool Host::Line(const std::string& line, std::string* reply) {
  const json j = json::parse(line);
  if (!j.is_object()) throw std::runtime_error("a line is not an object");
  const auto op = Need<std::string>(j, "op");
  if (op == "round") {
    if (in_batch_) throw std::runtime_error("a batch starts inside a batch");
    now_ = Need<Time>(j, "now");
    in_batch_ = true;
    reply_.clear();
    return false;
  }
  if (!in_batch_) throw std::runtime_error("'" + op + "' stands outside a batch");
  if (op == "eofBatch") {
    in_batch_ = false;
    reply_ += "{\"op\":\"eor\"}\n";
    reply->swap(reply_);
    return true;
  }
  if (op == "census") {
    std::vector<ListEntry> entries;
    for (const json& item : Need<json>(j, "items")) entries.push_back(ParseEntry(item));
    lists_[Need<int>(j, "list")] = std::move(entries);
    return false;
  }
  const int instance = Need<int>(j, "initiatorId");
  if (op == "enlist") {
    Scheduler scheduler(ParseSettings(Need<json>(j, "settings")), Need<std::uint64_t>(j, "prng"));
    instances_.insert_or_assign(instance, std::move(scheduler));
    Play(instance, Started{});
  } else if (op == "kill") {
    instances_.erase(instance);
  } else if (op == "membership") {
    Membership m;
    m.mode = ParseMode(Need<std::string>(j, "mode"));
    if (m.mode != Mode::kFailed) {
      const int number = Need<int>(j, "list");
      const auto list = lists_.find(number);
      if (list == lists_.end()) throw std::runtime_error("no list " + std::to_string(number));
      m.entries = list->second;
    }
    Play(instance, m);
  } else if (op == "arrival") {
    Play(instance, ParseArrival(j));
  } else if (op == "done") {
    Play(instance, ParseDone(j));
  } else if (op == "bell") {
    Play(instance, Bell{Need<std::int64_t>(j, "mark")});
  } else if (op == "probeDone") {
    Play(instance, ParseProbe(j));
  } else if (op == "abandoned") {
    Play(instance, Abandoned{Need<std::string>(j, "tid")});
  } else if (op == "streaming") {
    Play(instance, Streaming{Need<std::string>(j, "tid")});
  } else if (op != "peer") {  // peers are never spoken to
    throw std::runtime_error("unknown op '" + op + "'");
  }
  return false;
}

}  // namespace walnutspur::wire
