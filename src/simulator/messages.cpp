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

Idempotency ParseEffect(const std::string& name) {
  return Named<Idempotency>(name, {{"safe", Idempotency::kIdempotent},
                                   {"keyed", Idempotency::kIdempotentWithKey},
                                   {"unsafe", Idempotency::kNotIdempotent}});
}

DeduplicationScope ParseGroup(const std::string& name) {
  return Named<DeduplicationScope>(name, {{"all", DeduplicationScope::kAll},
                                          {"zone", DeduplicationScope::kZone},
                                          {"cell", DeduplicationScope::kShard}});
}

EndpointState ParsePhase(const std::string& name) {
  return Named<EndpointState>(name, {{"live", EndpointState::kActive},
                                     {"quiescing", EndpointState::kDraining},
                                     {"dead", EndpointState::kTerminated}});
}

EndpointUpdateKind ParseMode(const std::string& name) {
  return Named<EndpointUpdateKind>(name, {{"delta", EndpointUpdateKind::kDelta},
                                          {"full", EndpointUpdateKind::kFull},
                                          {"cached", EndpointUpdateKind::kCached},
                                          {"failed", EndpointUpdateKind::kFailed}});
}

DiscoveryMode ParseDiscovery(const std::string& name) {
  return Named<DiscoveryMode>(
      name, {{"automatic", DiscoveryMode::kAutomatic}, {"subscribe", DiscoveryMode::kSubscribe}});
}

Outcome ParseOutcome(const std::string& name) {
  return Named<Outcome>(name, {{"completed", Outcome::kCompleted},
                               {"errored", Outcome::kErrored},
                               {"saturated", Outcome::kOverloaded},
                               {"overdue", Outcome::kTimedOut},
                               {"refused_conn", Outcome::kConnectFailed},
                               {"severed", Outcome::kConnectionReset},
                               {"recalled", Outcome::kCancelled},
                               {"superseded", Outcome::kNotSent}});
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
  c.latency_objective = Need<Time>(j, "aim");
  c.deadline = Need<Time>(j, "deadline");
  c.idempotency = ParseEffect(Need<std::string>(j, "effect"));
  c.deduplication_scope = ParseGroup(Or<std::string>(j, "group", "all"));
  c.deduplication_window = Or<Time>(j, "memorySpan", 0);
  c.priority_weight = Or(j, "worth", c.priority_weight);
  c.late_weight_fraction = Or(j, "lateWorth", c.late_weight_fraction);
  c.ordered_by_key = Or(j, "serialByKey", false);
  return c;
}

Plan ParsePlan(const json& j) {
  Plan p;
  p.rate = Or(j, "rate", p.rate);
  p.reserved_rate = Or(j, "floorRate", p.reserved_rate);
  p.limit = Or(j, "limit", p.limit);
  p.burst = Or(j, "burst", p.burst);
  p.weight = Or(j, "parts", p.weight);
  p.priority_factor = Or(j, "valueFactor", p.priority_factor);
  return p;
}

Rules ParseRules(const json& j) {
  Rules r;
  r.poll_interval = Or<Time>(j, "askEvery", 0);
  r.drain_grace = Or<Time>(j, "drainGrace", 0);
  r.answer_grace = Or<Time>(j, "graceToAnswer", 0);
  r.slow_start_fraction = Or(j, "coldShare", r.slow_start_fraction);
  r.slow_start_duration = Or<Time>(j, "warmUp", 0);
  r.overload_threshold = Or(j, "tipMultiple", r.overload_threshold);
  r.overload_window = Or<Time>(j, "overloadFor", 0);
  r.key_quarantine = Maybe<Time>(j, "keyRest");
  r.retry_budget_window = Maybe<Time>(j, "budgetSpan");
  r.retry_budget_ratio = Maybe<double>(j, "furtherRatio");
  r.retry_budget_minimum = Or(j, "extraFloor", r.retry_budget_minimum);
  return r;
}

Endpoint ParseEntry(const json& j) {
  Endpoint e;
  e.target = Need<std::string>(j, "target");
  e.state = ParsePhase(Need<std::string>(j, "phase"));
  e.shard = Need<int>(j, "cohort");
  e.zone = Or(j, "regionPart", 0);
  e.kind = Or(j, "classOfHost", 0);
  e.scale = Or(j, "scale", 1.0);
  e.started_at = Or<Time>(j, "launched", 0);
  return e;
}

RequestArrived ParseArrival(const json& j) {
  RequestArrived a;
  a.id = Need<std::string>(j, "tid");
  a.request_class = Need<int>(j, "tierClass");
  a.plan = Or(j, "serviceLevel", 0);
  a.key = Or<std::string>(j, "chunk", "");
  a.volume = Or<std::string>(j, "owner", "");
  a.ttl = Need<Time>(j, "ttl");
  a.units = Or(j, "priceUnits", 1.0);
  a.shard = static_cast<int>(Or(j, "liesIn", -1.0));
  a.initiator_count = static_cast<int>(Or(j, "mounts", 1.0));
  a.is_client_retry = Or(j, "isRetry", false);
  return a;
}

AttemptFinished ParseDone(const json& j) {
  AttemptFinished d;
  d.id = Need<std::string>(j, "tid");
  d.attempt = Need<int>(j, "trial");
  d.target = Need<std::string>(j, "target");
  d.outcome = ParseOutcome(Need<std::string>(j, "rc"));
  d.latency = Need<Time>(j, "delaySeen");
  d.request_finished = Need<bool>(j, "settled");
  d.reported_usage = Or(j, "seenUse", 0);
  d.units_served_elsewhere = Or(j, "othersGot", 0.0);
  d.load_report = ParseReport(j);
  return d;
}

HealthCheckFinished ParseProbe(const json& j) {
  HealthCheckFinished p;
  p.target = Need<std::string>(j, "target");
  p.outcome = ParseOutcome(Need<std::string>(j, "rc"));
  p.latency = Need<Time>(j, "delaySeen");
  p.load_report = ParseReport(j);
  return p;
}

struct ToJson {
  int instance;
  json operator()(const SendAttempt& a) const {
    return {{"op", "send"},
            {"initiatorId", instance},
            {"tid", a.id},
            {"target", a.target},
            {"tryFor", a.timeout}};
  }
  json operator()(const RejectRequest& a) const {
    return {{"op", "notNow"}, {"initiatorId", instance}, {"tid", a.id}, {"holdOff", a.retry_after}};
  }
  json operator()(const FailRequest& a) const {
    return {{"op", "giveUp"}, {"initiatorId", instance}, {"tid", a.id}};
  }
  json operator()(const StartTimer& a) const {
    return {{"op", "wakeMe"}, {"initiatorId", instance}, {"mark", a.timer_id}, {"sleepFor", a.delay}};
  }
  json operator()(const CancelAttempt& a) const {
    return {{"op", "retract"}, {"initiatorId", instance}, {"tid", a.id}, {"trial", a.attempt}};
  }
  json operator()(const CheckHealth& a) const {
    return {{"op", "sample"}, {"initiatorId", instance}, {"target", a.target}};
  }
  json operator()(const WatchEndpoints&) const {
    return {{"op", "track"}, {"initiatorId", instance}, {"on", true}};
  }
};

}  // namespace

Settings ParseSettings(const json& j) {
  Settings s;
  s.instances = Need<int>(j, "nInstances");
  s.discovery = ParseDiscovery(Or<std::string>(j, "discovery", "automatic"));
  s.event_granularity = Or<Time>(j, "granularity", 0);
  for (const json& c : Need<json>(j, "classes")) s.classes.push_back(ParseClass(c));
  for (const json& p : Or(j, "policies", json::array())) s.plans.push_back(ParsePlan(p));
  s.rules = ParseRules(Or(j, "rules", json::object()));
  const json limits = Or(j, "limits", json::object());
  s.max_attempts = Or(limits, "tryLimit", s.max_attempts);
  s.can_cancel = Or(limits, "cancel", s.can_cancel);
  s.can_check_health = Or(limits, "probing", s.can_check_health);
  s.sends_retry_after = Or(limits, "retryAfter", s.sends_retry_after);
  s.max_retry_after = Or<Time>(limits, "maxRetryAfter", 0);
  const json extra = Or(j, "extra", json::object());
  s.slow_start_units = Or(extra, "coldUnits", s.slow_start_units);
  s.mean_request_units = Or(extra, "usualUnits", s.mean_request_units);
  s.max_request_units = Or(extra, "largest", s.max_request_units);
  s.fair_share_weight = Or(extra, "fairWorth", s.fair_share_weight);
  s.excess_weight = Or(extra, "beyondShare", s.excess_weight);
  s.usage_report_interval = Or<Time>(extra, "meterPeriod", 0);
  s.reports_remote_usage = Or(extra, "countsOthers", s.reports_remote_usage);
  const json telemetry = Or(j, "telemetry", json::object());
  s.load_report_fields = Or(telemetry, "fields", std::vector<std::string>{});
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
    std::vector<Endpoint> entries;
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
    EndpointUpdate m;
    m.kind = ParseMode(Need<std::string>(j, "mode"));
    if (m.kind != EndpointUpdateKind::kFailed) {
      const int number = Need<int>(j, "list");
      const auto list = lists_.find(number);
      if (list == lists_.end()) throw std::runtime_error("no list " + std::to_string(number));
      m.endpoints = list->second;
    }
    Play(instance, m);
  } else if (op == "arrival") {
    Play(instance, ParseArrival(j));
  } else if (op == "done") {
    Play(instance, ParseDone(j));
  } else if (op == "bell") {
    Play(instance, TimerFired{Need<std::int64_t>(j, "mark")});
  } else if (op == "probeDone") {
    Play(instance, ParseProbe(j));
  } else if (op == "abandoned") {
    Play(instance, ClientDisconnected{Need<std::string>(j, "tid")});
  } else if (op == "streaming") {
    Play(instance, ResponseStarted{Need<std::string>(j, "tid")});
  } else if (op != "peer") {  // peers are never spoken to
    throw std::runtime_error("unknown op '" + op + "'");
  }
  return false;
}

}  // namespace walnutspur::wire
