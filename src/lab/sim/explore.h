// Runs many randomly drawn experiments on all cores, checks the invariants of each, and shrinks one that
// violates an invariant: it reduces faults, load, duration and fleet as long as the same invariant is still
// violated.
#ifndef WALNUTSPUR_LAB_SIM_EXPLORE_H_
#define WALNUTSPUR_LAB_SIM_EXPLORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lab/sim/experiment.h"
#include "lab/sim/log_checker.h"
#include "lab/sim/simulation.h"

namespace walnutspur::lab::sim {

// Returns `base` with sizes, network, discovery and faults drawn from the seed.
Experiment DrawExperiment(const Experiment& base, std::uint64_t seed);

// A simulated run and the invariants that it violates.
struct CheckedRun {
  std::uint64_t seed = 0;
  SimulationResults results;
  std::vector<LogViolation> violations;
  std::uint32_t log_checksum = 0;  // CRC32C
};

// Simulates an experiment and checks the invariants on its log.
CheckedRun RunChecked(const Experiment& experiment, const TestHooks& hooks = {});

// Draws and checks the experiments of the seeds from `first` to `last` on `jobs` threads. `on_run` is called
// under a lock on one of these threads, in the order in which runs end. Stops after the first violation if
// `until_violation`.
void Explore(const Experiment& base, std::uint64_t first, std::uint64_t last, int jobs, bool until_violation,
             const std::function<void(const CheckedRun&)>& on_run, const TestHooks& hooks = {});

// Returns the smallest experiment found within `max_runs` runs that still violates the named invariant.
Experiment Shrink(const Experiment& failing, const std::string& invariant, int max_runs,
                  const TestHooks& hooks = {});

}  // namespace walnutspur::lab::sim

#endif  // WALNUTSPUR_LAB_SIM_EXPLORE_H_
