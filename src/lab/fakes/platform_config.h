// Formats the platform's configuration file of a stand-alone initiator, for tests, benchmarks and the soak.
//
// The members have the usual terms as names; only platform_config.cpp contains the keys of the file. Owns
// nothing; any thread.
#ifndef WALNUTSPUR_LAB_FAKES_PLATFORM_CONFIG_H_
#define WALNUTSPUR_LAB_FAKES_PLATFORM_CONFIG_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "walnutspur/types.h"

namespace walnutspur::lab {

// A class of requests.
struct PlatformRequestClass {
  std::string name = "read";
  Time latency_objective = 400'000;   // us
  Time deadline = 1'200'000;          // us
  bool is_idempotent = true;          // false: it changes data and must not be sent twice
  double priority_weight = 3.0;       // of a response within the objective
  double late_weight_fraction = 0.1;  // part of the weight that a response after the objective earns
};

// Values that differ between the callers. platform_config.cpp has the values that are the same for all.
struct PlatformConfig {
  std::string name = "n0";
  std::string listen = "127.0.0.1:0";  // of the HTTP front end
  std::string management;              // host:port; empty: the key is missing
  std::string discovery;               // host:port; empty: the key is missing, and the caller adds it
  nlohmann::json cached_endpoints;     // a document of FormatEndpointList; null: none
  int max_sockets = 1024;
  int memory_mb = 0;  // memory limit of the process; 0: the key is missing
  int instances = 1;  // of initiators in the fleet
  std::vector<PlatformRequestClass> classes = {PlatformRequestClass{}};
  std::string plan = "basic";      // name of the only plan
  double rate = 50.0;              // of the plan, requests per second; all of it is reserved
  Time drain_grace = 500'000;      // us
  Time idle_timeout = 30'000'000;  // us, of connections to targets
  bool can_check_health = false;
  int shards = 4;
  double slow_start_units = 20.0;
  std::vector<std::string> load_report_fields;
};

// Returns the configuration document.
nlohmann::json FormatPlatformConfig(const PlatformConfig& config);

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_FAKES_PLATFORM_CONFIG_H_
