// Mutations of the simulated cluster, each of which violates one invariant on purpose.
#ifndef WALNUTSPUR_TESTS_LAB_INVARIANT_MUTATIONS_H_
#define WALNUTSPUR_TESTS_LAB_INVARIANT_MUTATIONS_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "lab/sim/test_hooks.h"

namespace walnutspur::lab::sim {

struct Mutation {
  std::string name;
  std::string_view invariant;        // the name of the violated invariant
  std::function<TestHooks()> hooks;  // creates new hooks for each run, since some have state
};

// Returns all mutations.
std::vector<Mutation> Mutations();

}  // namespace walnutspur::lab::sim

#endif  // WALNUTSPUR_TESTS_LAB_INVARIANT_MUTATIONS_H_
