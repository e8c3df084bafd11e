// walnutspur-lab bench: measures the cost of the simulation and checks its results against known effects.
// Reads the environment variables SEED and SHORT, which `make bench-lab` sets.
#include <CLI/CLI.hpp>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "lab/bench/simulation_bench.h"
#include "lab/commands/command.h"

namespace walnutspur::lab {
namespace {

void ReadEnvironment(SimulationBenchOptions* options) {
  if (const char* const seed = std::getenv("SEED")) {
    options->seed = std::strtoull(seed, nullptr, 10);
  }
  const char* const brief = std::getenv("SHORT");
  options->brief = brief != nullptr && *brief != '\0';
}

ExitCode Bench(const std::vector<std::string>& parts) {
  SimulationBenchOptions options;
  ReadEnvironment(&options);
  options.parts = {parts.begin(), parts.end()};
  return RunSimulationBench(options) ? kExitOk : kExitViolation;
}

}  // namespace

Command DeclareBench(CLI::App& program) {
  const auto parts = std::make_shared<std::vector<std::string>>();
  CLI::App* const cli = program.add_subcommand(
      "bench", "Measure the cost of the simulation and check its results (environment: SEED, SHORT)");
  cli->add_option("PART", *parts, "Parts to run: size, worlds, signs, sizes (default: all)");
  return {cli, [parts] { return Bench(*parts); }};
}

}  // namespace walnutspur::lab
