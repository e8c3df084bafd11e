#include "simulator/settings.h"

#include <string>
#include <vector>

#include "simulator/json_fields.h"

namespace walnutspur::simulator {
namespace {

using nlohmann::json;

Idempotency ParseIdempotency(const std::string& text) {
  return ParseEnum<Idempotency>(text, {{"safe", Idempotency::kIdempotent},
                                       {"keyed", Idempotency::kIdempotentWithKey},
                                       {"unsafe", Idempotency::kNotIdempotent}});
}

DeduplicationScope ParseDeduplicationScope(const std::string& text) {
  return ParseEnum<DeduplicationScope>(text, {{"all", DeduplicationScope::kAll},
                                              {"zone", DeduplicationScope::kZone},
                                              {"cell", DeduplicationScope::kShard}});
}

DiscoveryMode ParseDiscoveryMode(const std::string& text) {
  return ParseEnum<DiscoveryMode>(
      text, {{"automatic", DiscoveryMode::kAutomatic}, {"subscribe", DiscoveryMode::kSubscribe}});
}

RequestClass ParseRequestClass(const json& object) {
  RequestClass request_class;
  request_class.latency_objective = RequiredField<Time>(object, "aim");
  request_class.deadline = RequiredField<Time>(object, "deadline");
  request_class.idempotency = ParseIdempotency(RequiredField<std::string>(object, "effect"));
  request_class.deduplication_scope = ParseDeduplicationScope(FieldOr<std::string>(object, "group", "all"));
  request_class.deduplication_window = FieldOr<Time>(object, "memorySpan", 0);
  request_class.priority_weight = FieldOr(object, "worth", request_class.priority_weight);
  request_class.late_weight_fraction = FieldOr(object, "lateWorth", request_class.late_weight_fraction);
  request_class.ordered_by_key = FieldOr(object, "serialByKey", false);
  return request_class;
}

Plan ParsePlan(const json& object) {
  Plan plan;
  plan.rate = FieldOr(object, "rate", plan.rate);
  plan.reserved_rate = FieldOr(object, "floorRate", plan.reserved_rate);
  plan.limit = FieldOr(object, "limit", plan.limit);
  plan.burst = FieldOr(object, "burst", plan.burst);
  plan.weight = FieldOr(object, "parts", plan.weight);
  plan.priority_factor = FieldOr(object, "valueFactor", plan.priority_factor);
  return plan;
}

Rules ParseRules(const json& object) {
  Rules rules;
  rules.poll_interval = FieldOr<Time>(object, "askEvery", 0);
  rules.drain_grace = FieldOr<Time>(object, "drainGrace", 0);
  rules.response_grace = FieldOr<Time>(object, "graceToAnswer", 0);
  rules.slow_start_fraction = FieldOr(object, "coldShare", rules.slow_start_fraction);
  rules.slow_start_duration = FieldOr<Time>(object, "warmUp", 0);
  rules.overload_threshold = FieldOr(object, "tipMultiple", rules.overload_threshold);
  rules.overload_window = FieldOr<Time>(object, "overloadFor", 0);
  rules.key_quarantine = OptionalField<Time>(object, "keyRest");
  rules.retry_budget_window = OptionalField<Time>(object, "budgetSpan");
  rules.retry_budget_ratio = OptionalField<double>(object, "furtherRatio");
  rules.retry_budget_minimum = FieldOr(object, "extraFloor", rules.retry_budget_minimum);
  return rules;
}

void ParseLimits(const json& object, Settings* settings) {
  settings->max_attempts = FieldOr(object, "tryLimit", settings->max_attempts);
  settings->can_cancel = FieldOr(object, "cancel", settings->can_cancel);
  settings->can_check_health = FieldOr(object, "probing", settings->can_check_health);
  settings->sends_retry_after = FieldOr(object, "retryAfter", settings->sends_retry_after);
  settings->max_retry_after = FieldOr<Time>(object, "maxRetryAfter", 0);
}

void ParseExtra(const json& object, Settings* settings) {
  settings->slow_start_units = FieldOr(object, "coldUnits", settings->slow_start_units);
  settings->mean_request_units = FieldOr(object, "usualUnits", settings->mean_request_units);
  settings->max_request_units = FieldOr(object, "largest", settings->max_request_units);
  settings->fair_share_weight = FieldOr(object, "fairWorth", settings->fair_share_weight);
  settings->excess_weight = FieldOr(object, "beyondShare", settings->excess_weight);
  settings->usage_report_interval = FieldOr<Time>(object, "meterPeriod", 0);
  settings->reports_remote_usage = FieldOr(object, "countsOthers", settings->reports_remote_usage);
}

}  // namespace

Settings ParseSettings(const json& object) {
  Settings settings;
  settings.instances = RequiredField<int>(object, "nInstances");
  settings.discovery = ParseDiscoveryMode(FieldOr<std::string>(object, "discovery", "automatic"));
  settings.event_granularity = FieldOr<Time>(object, "granularity", 0);
  for (const json& item : RequiredField<json>(object, "classes")) {
    settings.classes.push_back(ParseRequestClass(item));
  }
  for (const json& item : FieldOr(object, "policies", json::array())) {
    settings.plans.push_back(ParsePlan(item));
  }
  settings.rules = ParseRules(FieldOr(object, "rules", json::object()));
  ParseLimits(FieldOr(object, "limits", json::object()), &settings);
  ParseExtra(FieldOr(object, "extra", json::object()), &settings);
  const json telemetry = FieldOr(object, "telemetry", json::object());
  settings.load_report_fields = FieldOr(telemetry, "fields", std::vector<std::string>{});
  return settings;
}

}  // namespace walnutspur::simulator
