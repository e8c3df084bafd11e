// The configuration that scenarios run under.
#ifndef WALNUTSPUR_TESTS_NET_SCENARIO_CONFIG_H_
#define WALNUTSPUR_TESTS_NET_SCENARIO_CONFIG_H_

#include <nlohmann/json.hpp>

namespace walnutspur::test {

// The platform's configuration file: classes read, write (not idempotent) and quick, four shards, one plan.
// The discovery address is missing; whoever starts an initiator adds it.
nlohmann::json BasicConfig();

}  // namespace walnutspur::test

#endif  // WALNUTSPUR_TESTS_NET_SCENARIO_CONFIG_H_
