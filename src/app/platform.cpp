#include "app/platform.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <stdexcept>

#include "simulator/wire.h"

namespace walnutspur::app {
namespace {

using nlohmann::json;

std::vector<std::string> ParseNames(const json& list) {
  std::vector<std::string> names;
  for (const json& item : list)
    names.push_back(item.is_object() ? item.at("name").get<std::string>() : item.get<std::string>());
  return names;
}

}  // namespace

http::Config ParseConfig(const json& j) {
  http::Config c;
  c.name = j.value("name", "initiator");
  c.listen = loop::ParseAddress(j.at("listen").get<std::string>());
  c.discovery = loop::ParseAddress(j.at("discovery").get<std::string>());
  loop::ToSocket(c.discovery);  // there is no DNS: a name would never be reached
  const std::string seed = j.value("seed", "0");
  const auto [at, error] = std::from_chars(seed.data(), seed.data() + seed.size(), c.seed, 16);
  if (error != std::errc() || at != seed.data() + seed.size())
    throw std::runtime_error("'seed' is not a hexadecimal number");
  const json own = j.value("limits", json::object());
  c.sockets = own.value("sockets", c.sockets);
  c.memory_mb = own.value("memory_mb", c.memory_mb);
  const json& settings = j.at("settings");
  c.settings = walnutspur::wire::ParseSettings(settings);
  if (c.settings.classes.empty()) throw std::runtime_error("'settings' has no classes");
  c.settings.sends_retry_after = true;  // HTTP carries it, whatever the simulator's wire forwards
  c.names.classes = ParseNames(settings.at("classes"));
  c.names.plans = ParseNames(settings.value("policies", json::array()));
  c.names.zones = ParseNames(settings.value("zones", json::array()));
  c.names.kinds = ParseNames(settings.value("hostTypes", json::array()));
  const json extra = settings.value("extra", json::object());
  c.shards = extra.value("shards", 0);
  c.writes = extra.value("changesData", c.writes);
  if (!c.writes.empty() && c.writes.size() != c.settings.classes.size())
    throw std::runtime_error("'changesData' does not fit the classes");
  const json limits = settings.value("limits", json::object());
  c.idle_timeout = limits.value("connIdle", c.idle_timeout);
  c.connect_timeout = limits.value("dialTimeout", c.connect_timeout);
  for (const auto& cls : c.settings.classes) c.longest_deadline = std::max(c.longest_deadline, cls.deadline);
  c.known = j.value("known", json());
  return c;
}

http::Config LoadConfig(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error("cannot read " + path);
  try {
    return ParseConfig(json::parse(file));
  } catch (const std::exception& error) {
    throw std::runtime_error(path + ": " + error.what());
  }
}

}  // namespace walnutspur::app
