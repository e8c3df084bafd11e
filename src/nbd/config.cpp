#include "nbd/config.h"

#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace walnutspur::nbd {
namespace {

constexpr double kMostBytes = 1 << 20;  // of a command, whatever a unit is

template <typename T>
T Need(const toml::table& table, const char* key) {
  const auto value = table[key].value<T>();
  if (!value) throw std::runtime_error("'" + std::string(key) + "' is missing or of another type");
  return *value;
}

int Index(const std::vector<std::string>& names, const std::string& name) {
  const auto at = std::find(names.begin(), names.end(), name);
  if (at == names.end()) throw std::runtime_error("'" + name + "' is not in the settings");
  return static_cast<int>(at - names.begin());
}

template <typename Call>
void Each(const toml::table& table, const char* key, Call call) {
  const toml::array* items = table[key].as_array();
  if (!items) throw std::runtime_error("no [[" + std::string(key) + "]]");
  for (const auto& item : *items) {
    if (!item.is_table()) throw std::runtime_error("[[" + std::string(key) + "]] holds no tables");
    call(*item.as_table());
  }
}

}  // namespace

Config ParseConfig(const std::string& text, const std::vector<std::string>& classes,
                   const std::vector<std::string>& plans, const Settings& settings, int shards) {
  const toml::table root = toml::parse(text);
  Config c;
  c.listen = Need<std::string>(root, "listen");
  c.handshake = static_cast<Time>(std::clamp(root["handshake_s"].value_or(2.5), 0.01, 2.5) * 1e6);
  c.idle = static_cast<Time>(root["idle_s"].value_or(30.0) * 1e6);
  c.dial = static_cast<Time>(root["dial_s"].value_or(0.25) * 1e6);
  c.unit_bytes = root["unit_bytes"].value_or(4096.0);
  if (!(c.unit_bytes >= 1)) throw std::runtime_error("'unit_bytes' is under 1");
  const toml::table* commands = root["commands"].as_table();
  if (!commands) throw std::runtime_error("no [commands]");
  c.classes[kRead] = Index(classes, Need<std::string>(*commands, "read"));
  c.classes[kWrite] = Index(classes, Need<std::string>(*commands, "write"));
  c.classes[kFlush] = Index(classes, Need<std::string>(*commands, "flush"));
  Each(root, "box", [&](const toml::table& t) {
    Box box;
    box.id = Need<std::string>(t, "id");
    box.address = Need<std::string>(t, "address");
    box.listed = t["listed"].value_or(true);
    c.boxes.push_back(box);
  });
  Each(root, "export", [&](const toml::table& t) {
    Volume v;
    v.front.name = Need<std::string>(t, "name");
    const auto size = Need<std::int64_t>(t, "size");
    if (size <= 0) throw std::runtime_error("export '" + v.front.name + "' has no size");
    v.front.size = static_cast<std::uint64_t>(size);
    v.front.largest =
        static_cast<std::uint32_t>(std::min(kMostBytes, std::floor(settings.largest_units * c.unit_bytes)));
    v.volume = Need<std::string>(t, "volume");
    v.plan = Index(plans, Need<std::string>(t, "plan"));
    v.shard = Need<int>(t, "shard");
    v.hosts = std::max(1, t["hosts"].value_or(1));
    v.box = Need<std::string>(t, "box");
    v.remote = t["remote"].value_or(v.front.name);
    const auto box =
        std::find_if(c.boxes.begin(), c.boxes.end(), [&](const Box& b) { return b.id == v.box; });
    if (box == c.boxes.end()) throw std::runtime_error("export '" + v.front.name + "' names no box");
    // A shard of the platform's own must not be sent to a box that discovery does not know.
    if (!box->listed && v.shard < shards)
      throw std::runtime_error("export '" + v.front.name +
                               "': the shard of an unlisted box is the platform's");
    box->shard = v.shard;
    c.exports.push_back(v.front);
    c.volumes.push_back(std::move(v));
  });
  return c;
}

Config LoadConfig(const std::string& path, const std::vector<std::string>& classes,
                  const std::vector<std::string>& plans, const Settings& settings, int shards) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error("cannot read " + path);
  std::stringstream text;
  text << file.rdbuf();
  try {
    return ParseConfig(text.str(), classes, plans, settings, shards);
  } catch (const std::exception& error) {
    throw std::runtime_error(path + ": " + error.what());
  }
}

double UnitsOf(const Config& config, std::uint32_t bytes) {
  return std::max(1.0, std::ceil(bytes / config.unit_bytes));
}

}  // namespace walnutspur::nbd
