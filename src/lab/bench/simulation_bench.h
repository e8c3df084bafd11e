// Measures the cost of the simulation and checks claims about its results, such as known effects of a change.
//
// Called by `walnutspur-lab bench`. Runs on one thread, except the drawn experiments, which run on four.
#ifndef WALNUTSPUR_LAB_BENCH_SIMULATION_BENCH_H_
#define WALNUTSPUR_LAB_BENCH_SIMULATION_BENCH_H_

#include <cstdint>
#include <set>
#include <string>

namespace walnutspur::lab {

struct SimulationBenchOptions {
  std::uint64_t seed = 1;
  bool brief = false;           // smaller fleets, shorter and fewer runs
  std::set<std::string> parts;  // "size", "worlds", "signs" and "sizes"; empty: all
};

// Prints each claim with its figure, and finally one JSON object with all claims. Returns whether every claim
// is met.
bool RunSimulationBench(const SimulationBenchOptions& options);

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_BENCH_SIMULATION_BENCH_H_
