// walnutspur-lab simulate: runs one experiment in virtual time and checks the invariants on its event log.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <optional>
#include <string>

#include "lab/commands/command.h"
#include "lab/commands/log_report.h"
#include "lab/sim/event_log.h"
#include "lab/sim/experiment.h"
#include "lab/sim/experiment_file.h"
#include "lab/sim/log_checker.h"
#include "lab/sim/simulation.h"

namespace walnutspur::lab {
namespace {

using sim::EventLog;
using sim::Experiment;
using sim::LoadExperiment;
using sim::LogChecker;
using sim::LogEntry;
using sim::SecondTotals;
using sim::Simulation;
using sim::SimulationResults;

constexpr int kWorstSpan = 10;  // seconds

struct SimulateOptions {
  std::string file;
  std::optional<std::uint64_t> seed;  // replaces the seed of the file
  std::string policy;                 // replaces the policy of the file; empty: the policy of the file
  std::string log_path;               // empty: writes no log
};

double Ratio(std::uint64_t part, std::uint64_t total) {
  return static_cast<double>(part) / static_cast<double>(std::max<std::uint64_t>(1, total));
}

SecondTotals Total(const SimulationResults& results) {
  SecondTotals total;
  for (const SecondTotals& second : results.seconds) {
    total.served += second.served;
    total.missed_objective += second.missed_objective;
    total.rejected += second.rejected;
    total.failed += second.failed;
    total.timed_out += second.timed_out;
  }
  return total;
}

void PrintResults(const SimulationResults& results) {
  const SecondTotals total = Total(results);
  std::printf("service %.4f, worst 10 s %.4f\n", results.service(), results.worst_service(kWorstSpan));
  std::printf("requests %llu: served %llu (late %llu), refused %llu, failed %llu, timed out %llu\n",
              Printable{results.requests}, Printable{total.served}, Printable{total.missed_objective},
              Printable{total.rejected}, Printable{total.failed}, Printable{total.timed_out});
  std::printf("attempts %.3f a request, work for nobody %.2f %%\n", Ratio(results.attempts, results.requests),
              100 * Ratio(results.wasted_units, results.completed_units));
  std::printf("ms: p50 %.2f, p90 %.2f, p99 %.2f, p99.9 %.2f\n", results.percentile(0.5),
              results.percentile(0.9), results.percentile(0.99), results.percentile(0.999));
}

Experiment Load(const SimulateOptions& options) {
  Experiment experiment = LoadExperiment(options.file);
  if (options.seed) {
    experiment.seed = *options.seed;
  }
  if (!options.policy.empty()) {
    experiment.policy = options.policy;
  }
  return experiment;
}

ExitCode Simulate(const SimulateOptions& options) {
  const Experiment experiment = Load(options);
  EventLog log(options.log_path);
  LogChecker checker;
  log.on_entry = [&](const LogEntry& entry) { checker.Observe(entry); };
  const auto start = std::chrono::steady_clock::now();
  const SimulationResults results = Simulation(experiment, &log).Run([](double fraction) {
    std::fprintf(stderr, "\r%3.0f %%", 100 * fraction);
  });
  const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  std::fprintf(stderr, "\r");
  PrintResults(results);
  std::printf("%.1f s, %.1f us a request; log of %llu entries, sum %08x\n", seconds,
              1e6 * seconds / static_cast<double>(std::max<std::uint64_t>(1, results.requests)),
              Printable{log.entries()}, log.checksum());
  return ReportViolations(checker);
}

}  // namespace

Command DeclareSimulate(CLI::App& program) {
  const auto options = std::make_shared<SimulateOptions>();
  CLI::App* const cli =
      program.add_subcommand("simulate", "Run an experiment in virtual time and check the invariants");
  cli->add_option("FILE", options->file, "Experiment file (TOML)")->required();
  cli->add_option("--seed", options->seed, "Use this seed instead of the one in the file");
  cli->add_option(
      "--policy", options->policy,
      "Use this policy instead of the one in the file: walnutspur, at-once, buckets or least-out");
  cli->add_option("--log", options->log_path, "Write the event log to this file");
  return {cli, [options] { return Simulate(*options); }};
}

}  // namespace walnutspur::lab
