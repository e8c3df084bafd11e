#include "simulator/messages.h"

#include <variant>
#include <vector>

#include "simulator/json_fields.h"

namespace walnutspur::simulator {
namespace {

using nlohmann::json;

EndpointState ParseEndpointState(const std::string& text) {
  return ParseEnum<EndpointState>(text, {{"live", EndpointState::kActive},
                                         {"quiescing", EndpointState::kDraining},
                                         {"dead", EndpointState::kTerminated}});
}

Outcome ParseOutcome(const std::string& text) {
  return ParseEnum<Outcome>(text, {{"completed", Outcome::kCompleted},
                                   {"errored", Outcome::kErrored},
                                   {"saturated", Outcome::kOverloaded},
                                   {"overdue", Outcome::kTimedOut},
                                   {"refused_conn", Outcome::kConnectFailed},
                                   {"severed", Outcome::kConnectionReset},
                                   {"recalled", Outcome::kCancelled},
                                   {"superseded", Outcome::kNotSent}});
}

std::vector<double> ParseLoadReport(const json& object) {
  std::vector<double> report;
  const auto it = object.find("healthInfo");
  if (it == object.end() || it->is_null()) {
    return report;
  }
  for (const json& value : *it) {
    report.push_back(value.is_null() ? 0.0 : value.get<double>());
  }
  return report;
}

class ActionToJson {
 public:
  explicit ActionToJson(int instance) : instance_(instance) {}

  json operator()(const SendAttempt& action) const {
    return {{"op", "send"},
            {"initiatorId", instance_},
            {"tid", action.id},
            {"target", action.target},
            {"tryFor", action.timeout}};
  }
  json operator()(const RejectRequest& action) const {
    return {
        {"op", "notNow"}, {"initiatorId", instance_}, {"tid", action.id}, {"holdOff", action.retry_after}};
  }
  json operator()(const FailRequest& action) const {
    return {{"op", "giveUp"}, {"initiatorId", instance_}, {"tid", action.id}};
  }
  json operator()(const StartTimer& action) const {
    return {
        {"op", "wakeMe"}, {"initiatorId", instance_}, {"mark", action.timer_id}, {"sleepFor", action.delay}};
  }
  json operator()(const CancelAttempt& action) const {
    return {{"op", "retract"}, {"initiatorId", instance_}, {"tid", action.id}, {"trial", action.attempt}};
  }
  json operator()(const CheckHealth& action) const {
    return {{"op", "sample"}, {"initiatorId", instance_}, {"target", action.target}};
  }
  json operator()(const WatchEndpoints& /*action*/) const {
    return {{"op", "track"}, {"initiatorId", instance_}, {"on", true}};
  }

 private:
  int instance_;
};

}  // namespace

Endpoint ParseEndpoint(const json& object) {
  Endpoint endpoint;
  endpoint.target = RequiredField<std::string>(object, "target");
  endpoint.state = ParseEndpointState(RequiredField<std::string>(object, "phase"));
  endpoint.shard = RequiredField<int>(object, "cohort");
  endpoint.zone = FieldOr(object, "regionPart", 0);
  endpoint.target_type = FieldOr(object, "classOfHost", 0);
  endpoint.relative_capacity = FieldOr(object, "scale", 1.0);
  endpoint.started_at = FieldOr<Time>(object, "launched", 0);
  return endpoint;
}

EndpointUpdateKind ParseEndpointUpdateKind(const std::string& text) {
  return ParseEnum<EndpointUpdateKind>(text, {{"delta", EndpointUpdateKind::kDelta},
                                              {"full", EndpointUpdateKind::kFull},
                                              {"cached", EndpointUpdateKind::kCached},
                                              {"failed", EndpointUpdateKind::kFailed}});
}

RequestArrived ParseRequestArrived(const json& object) {
  RequestArrived event;
  event.id = RequiredField<std::string>(object, "tid");
  event.request_class = RequiredField<int>(object, "tierClass");
  event.plan = FieldOr(object, "serviceLevel", 0);
  event.key = FieldOr<std::string>(object, "chunk", "");
  event.volume = FieldOr<std::string>(object, "owner", "");
  event.ttl = RequiredField<Time>(object, "ttl");
  event.units = FieldOr(object, "priceUnits", 1.0);
  // The simulator may write integers as floating-point numbers.
  event.shard = static_cast<int>(FieldOr(object, "liesIn", -1.0));
  event.initiator_count = static_cast<int>(FieldOr(object, "mounts", 1.0));
  event.is_client_retry = FieldOr(object, "isRetry", false);
  return event;
}

AttemptFinished ParseAttemptFinished(const json& object) {
  AttemptFinished event;
  event.id = RequiredField<std::string>(object, "tid");
  event.attempt = RequiredField<int>(object, "trial");
  event.target = RequiredField<std::string>(object, "target");
  event.outcome = ParseOutcome(RequiredField<std::string>(object, "rc"));
  event.latency = RequiredField<Time>(object, "delaySeen");
  event.request_finished = RequiredField<bool>(object, "settled");
  event.reported_usage = FieldOr(object, "seenUse", 0);
  event.units_served_elsewhere = FieldOr(object, "othersGot", 0.0);
  event.load_report = ParseLoadReport(object);
  return event;
}

HealthCheckFinished ParseHealthCheckFinished(const json& object) {
  HealthCheckFinished event;
  event.target = RequiredField<std::string>(object, "target");
  event.outcome = ParseOutcome(RequiredField<std::string>(object, "rc"));
  event.latency = RequiredField<Time>(object, "delaySeen");
  event.load_report = ParseLoadReport(object);
  return event;
}

json ToJson(int instance, const Action& action) { return std::visit(ActionToJson(instance), action); }

}  // namespace walnutspur::simulator
