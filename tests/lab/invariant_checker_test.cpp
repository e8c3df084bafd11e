// Tests that the checker detects each invariant that is violated on purpose, and that a failing experiment is
// shrunk to its cause.
#include "lab/invariants/invariant_checker.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <string>

#include "base_experiment.h"
#include "invariant_mutations.h"
#include "lab/invariants/invariant_names.h"
#include "lab/sim/explore.h"

namespace walnutspur::lab::sim {
namespace {

namespace name = invariants::name;

constexpr std::uint64_t kMaxSeed = 200;

// Draws an experiment and replaces its faults: a server is replaced, two restart, and all fail some requests.
Experiment DrawWithFaults(const Experiment& base, std::uint64_t seed) {
  Experiment experiment = DrawExperiment(base, seed);
  experiment.servers = 6;
  experiment.faults = {{FaultKind::kReplace, 500'000, 1'500'000, 1, 1, 0, 0},
                       {FaultKind::kRestart, 300'000, 1'000'000, 3, 2, 0, 100'000},
                       {FaultKind::kErrors, 1'000'000, 2'000'000, 0, 6, 0.5, 0}};
  return experiment;
}

bool IsDetected(const Mutation& mutation, const Experiment& experiment) {
  const CheckedRun run = RunChecked(experiment, mutation.hooks());
  return std::any_of(run.violations.begin(), run.violations.end(), [&](const LogViolation& violation) {
    return violation.invariant == mutation.invariant;
  });
}

TEST_CASE(
    "InvariantChecker: each invariant violated on purpose is detected by its name within 200 experiments") {
  Experiment base = BaseExperiment();
  base.discovery_delay = 1'000'000;
  for (const Mutation& mutation : Mutations()) {
    CAPTURE(mutation.name);
    std::uint64_t seed = 1;
    bool detected = false;
    for (; seed <= kMaxSeed && !detected; ++seed) {
      Experiment experiment = DrawWithFaults(base, seed);
      if (mutation.invariant == name::kUnknownTarget) {
        experiment.discovery_delay = 100'000;
      }
      detected = IsDetected(mutation, experiment);
    }
    CHECK_MESSAGE(detected, mutation.name, " was not detected");
    MESSAGE(mutation.name, ": detected in experiment ", seed - 1);
  }
}

TEST_CASE("Shrink: a failing experiment is reduced and still violates the invariant") {
  const Mutation ignores_drains = Mutations()[4];
  REQUIRE(ignores_drains.invariant == name::kDrainGrace);
  Experiment experiment = DrawExperiment(BaseExperiment(), 3);
  experiment.servers = 6;
  experiment.faults = {{FaultKind::kSlow, 100'000, 1'000'000, 0, 3, 0.5, 0},
                       {FaultKind::kReplace, 500'000, 2'500'000, 1, 2, 0, 0},
                       {FaultKind::kFreeze, 2'000'000, 500'000, 2, 1, 0, 0}};
  const Experiment smallest = Shrink(experiment, std::string(name::kDrainGrace), 100, ignores_drains.hooks());
  CHECK(smallest.faults.size() == 1);
  CHECK(smallest.faults[0].kind == FaultKind::kReplace);
  CHECK(smallest.initiators <= experiment.initiators);
  const CheckedRun again =
      RunChecked(ParseExperiment(FormatExperiment(smallest), "smallest"), ignores_drains.hooks());
  REQUIRE_FALSE(again.violations.empty());
  CHECK(again.violations.front().invariant == name::kDrainGrace);
}

}  // namespace
}  // namespace walnutspur::lab::sim
