// What an initiator is told at its start.
#ifndef WALNUTSPUR_NET_CONFIG_H_
#define WALNUTSPUR_NET_CONFIG_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "net/address.h"
#include "walnutspur/scheduler.h"

namespace walnutspur::net {

// The names that the platform's protocol uses, with the numbers that the module uses.
struct Names {
  std::vector<std::string> classes, plans, zones, kinds;
};
// The number of a name, or -1.
int IndexOf(const std::vector<std::string>& names, const std::string& name);

struct Config {
  std::string name;
  Address listen, discovery;
  std::uint64_t seed = 0;
  int sockets = 1024;
  int memory_mb = 192;
  walnutspur::Settings settings;
  Names names;
  int shards = 0;            // 0: not told
  std::vector<bool> writes;  // by class; empty: not told
  walnutspur::Time idle = 30'000'000;
  walnutspur::Time dial = 250'000;
  walnutspur::Time longest_deadline = 0;
  nlohmann::json known;  // the list as it was held last, in discovery's form
};

Config ParseConfig(const nlohmann::json& json);
// Throws std::exception with a message of one line.
Config LoadConfig(const std::string& path);

}  // namespace walnutspur::net

#endif  // WALNUTSPUR_NET_CONFIG_H_
