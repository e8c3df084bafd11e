#include "app/platform.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <cstdlib>
#include <exception>
#include <fstream>

#include "app/errors.h"
#include "simulator/settings.h"

namespace walnutspur::app {
namespace {

// Memory of the process for each entry of its tables of flows and of request ids, bytes.
constexpr std::size_t kMemoryPerFlow = 8 << 10;
constexpr std::size_t kMemoryPerRequestId = 4 << 10;

using nlohmann::json;

constexpr int kSeedBase = 16;

std::vector<std::string> ParseNames(const json& list) {
  std::vector<std::string> names;
  for (const json& item : list) {
    names.push_back(item.is_object() ? item.at("name").get<std::string>() : item.get<std::string>());
  }
  return names;
}

http::Names ParseAllNames(const json& settings) {
  http::Names names;
  names.classes = ParseNames(settings.at("classes"));
  names.plans = ParseNames(settings.value("policies", json::array()));
  names.zones = ParseNames(settings.value("zones", json::array()));
  names.kinds = ParseNames(settings.value("hostTypes", json::array()));
  return names;
}

std::uint64_t ParseSeed(const std::string& text) {
  std::uint64_t seed = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, seed, kSeedBase);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    throw ConfigError("'seed' is \"" + text + "\"; allowed: a hexadecimal number of at most 64 bits");
  }
  return seed;
}

// The platform may add and remove classes without changing the list of those that write. A list of another
// length does not state which classes it is about.
void ParseExtra(const json& extra, http::Config* config) {
  config->shards = extra.value("shards", 0);
  const auto writes = extra.value("changesData", std::vector<bool>());
  if (writes.size() == config->settings.classes.size()) {
    config->writes.assign(writes.begin(), writes.end());
  }
}

void CheckFigures(const Settings& settings) {
  for (const RequestClass& request_class : settings.classes) {
    if (request_class.deadline <= 0 || request_class.latency_objective <= 0) {
      throw ConfigError("'settings.classes' has a class with deadline " +
                        std::to_string(request_class.deadline) + " and aim " +
                        std::to_string(request_class.latency_objective) + "; allowed: above 0");
    }
  }
  if (settings.max_attempts <= 0) {
    throw ConfigError("'settings.limits.tryLimit' is " + std::to_string(settings.max_attempts) +
                      "; allowed: above 0");
  }
}

void ParseSettings(const json& settings, http::Config* config) {
  config->settings = simulator::ParseSettings(settings);
  if (config->settings.classes.empty()) {
    throw ConfigError("'settings.classes' is empty; allowed: at least one class");
  }
  CheckFigures(config->settings);
  config->settings_document = settings;
  config->settings.sends_retry_after = true;  // HTTP has Retry-After; the simulator's protocol may omit it
  config->names = ParseAllNames(settings);
  ParseExtra(settings.value("extra", json::object()), config);
  const json limits = settings.value("limits", json::object());
  config->idle_timeout = limits.value("connIdle", config->idle_timeout);
  config->connect_timeout = limits.value("dialTimeout", config->connect_timeout);
  for (const RequestClass& request_class : config->settings.classes) {
    config->max_deadline = std::max(config->max_deadline, request_class.deadline);
  }
}

// Returns the bounds of tables whose entries together may use about an eighth and a thirty-second of the
// memory.
TableLimits TableLimitsFor(std::size_t memory_bytes) {
  return {.max_flows = memory_bytes / kMemoryPerFlow, .max_request_ids = memory_bytes / kMemoryPerRequestId};
}

// Sets what the configuration leaves to the environment.
void ReadEnvironment(http::Config* config) {
  const char* management = std::getenv("BALANCER_MANAGEMENT");
  if (!config->management && management != nullptr && *management != '\0') {
    config->management = loop::ParseAddress(management);
  }
}

}  // namespace

http::Config ParseConfig(const json& document) {
  http::Config config;
  config.name = document.value("name", "initiator");
  config.listen = loop::ParseAddress(document.at("listen").get<std::string>());
  config.discovery = loop::ParseAddress(document.at("discovery").get<std::string>());
  if (const auto management = document.value("management", std::string()); !management.empty()) {
    config.management = loop::ParseAddress(management);
  }
  loop::ToSocket(config.discovery);  // throws on a host name: there is no DNS to resolve it
  config.seed = ParseSeed(document.value("seed", "0"));
  const json limits = document.value("limits", json::object());
  config.sockets = limits.value("sockets", config.sockets);
  config.memory_mb = limits.value("memory_mb", config.memory_mb);
  ParseSettings(document.at("settings"), &config);
  config.settings.tables = TableLimitsFor(config.memory_bytes());
  config.cached_list = document.value("known", json());
  return config;
}

http::Config LoadConfig(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw ConfigError("cannot read " + path);
  }
  try {
    http::Config config = ParseConfig(json::parse(file));
    ReadEnvironment(&config);
    return config;
  } catch (const std::exception& error) {
    throw ConfigError(path + ": " + error.what());
  }
}

}  // namespace walnutspur::app
