#include "lab/fakes/platform_config.h"

namespace walnutspur::lab {
namespace {

using nlohmann::json;

json Classes(const std::vector<PlatformRequestClass>& classes) {
  json list = json::array();
  for (const PlatformRequestClass& each : classes) {
    list.push_back({{"name", each.name},
                    {"aim", each.latency_objective},
                    {"deadline", each.deadline},
                    {"effect", each.is_idempotent ? "safe" : "unsafe"},
                    {"worth", each.priority_weight},
                    {"lateWorth", each.late_weight_fraction}});
  }
  return list;
}

json Rules(Time drain_grace) {
  return {{"askEvery", 10000000}, {"drainGrace", drain_grace}, {"graceToAnswer", 8000}, {"coldShare", 0.2},
          {"warmUp", 1000000},    {"tipMultiple", 2.0},        {"overloadFor", 1000000}};
}

json AttemptLimits(const PlatformConfig& config) {
  return {{"tryLimit", 3},
          {"cancel", true},
          {"probing", config.can_check_health},
          {"maxRetryAfter", 500000},
          {"connIdle", config.idle_timeout},
          {"dialTimeout", 250000}};
}

json Capacity(const PlatformConfig& config) {
  json changes_data = json::array();
  for (const PlatformRequestClass& each : config.classes) {
    changes_data.push_back(!each.is_idempotent);
  }
  return {{"largest", 16},
          {"usualUnits", 1.0},
          {"shards", config.shards},
          {"coldUnits", config.slow_start_units},
          {"changesData", changes_data}};
}

json Settings(const PlatformConfig& config) {
  const json plan = {{"name", config.plan}, {"rate", config.rate}, {"floorRate", config.rate}};
  return {{"nInstances", config.instances},     {"discovery", "subscribe"},
          {"classes", Classes(config.classes)}, {"policies", json::array({plan})},
          {"rules", Rules(config.drain_grace)}, {"limits", AttemptLimits(config)},
          {"extra", Capacity(config)},          {"telemetry", {{"fields", config.load_report_fields}}}};
}

}  // namespace

json FormatPlatformConfig(const PlatformConfig& config) {
  json document = {{"name", config.name},
                   {"listen", config.listen},
                   {"seed", "8c1f30d27a5be964"},
                   {"limits", {{"sockets", config.max_sockets}}},
                   {"settings", Settings(config)}};
  if (config.memory_mb > 0) {
    document["limits"]["memory_mb"] = config.memory_mb;
  }
  if (!config.discovery.empty()) {
    document["discovery"] = config.discovery;
  }
  if (!config.management.empty()) {
    document["management"] = config.management;
  }
  if (!config.cached_endpoints.is_null()) {
    document["known"] = config.cached_endpoints;
  }
  return document;
}

}  // namespace walnutspur::lab
