// Defines the configuration of the initiator in scenarios.
#ifndef WALNUTSPUR_TESTS_NET_SCENARIO_CONFIG_H_
#define WALNUTSPUR_TESTS_NET_SCENARIO_CONFIG_H_

#include <nlohmann/json.hpp>

namespace walnutspur::test {

// Returns the contents of the platform's configuration file: the classes read, write (not idempotent) and
// quick, four shards, one plan. The caller must add the discovery address before it starts an initiator.
nlohmann::json BasicConfig();

}  // namespace walnutspur::test

#endif  // WALNUTSPUR_TESTS_NET_SCENARIO_CONFIG_H_
