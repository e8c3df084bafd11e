// walnutspur-lab: simulates experiments on the scheduler in virtual time, and checks the invariants of the
// platform.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <fstream>
#include <optional>
#include <string>
#include <thread>

#include "lab/experiment.h"
#include "lab/experiment_file.h"
#include "lab/sim/event_log.h"
#include "lab/sim/explore.h"
#include "lab/sim/log_checker.h"
#include "lab/sim/simulation.h"

namespace {

using walnutspur::lab::CheckedRun;
using walnutspur::lab::EventLog;
using walnutspur::lab::EventLogError;
using walnutspur::lab::Experiment;
using walnutspur::lab::LogChecker;
using walnutspur::lab::LogEntry;
using walnutspur::lab::LogViolation;
using walnutspur::lab::SecondTotals;
using walnutspur::lab::Simulation;
using walnutspur::lab::SimulationResults;

// Exit codes.
constexpr int kExitOk = 0;
constexpr int kExitViolation = 1;
constexpr int kExitUsage = 2;  // the experiment or the command line is wrong

constexpr int kMaxShrinkRuns = 200;
constexpr int kWorstSpan = 10;               // seconds
constexpr std::uint64_t kProgressStep = 10;  // runs between two reports of progress

using Printable = unsigned long long;  // NOLINT(google-runtime-int): what printf's %llu takes

double Ratio(std::uint64_t part, std::uint64_t total) {
  return static_cast<double>(part) / static_cast<double>(std::max<std::uint64_t>(1, total));
}

void PrintViolation(const LogViolation& violation) {
  std::printf("broken %s: %s, by: %s", violation.invariant.c_str(), violation.description.c_str(),
              FormatEntry(violation.entry).c_str());
}

int ReportViolations(const LogChecker& checker) {
  for (const LogViolation& violation : checker.violations()) {
    PrintViolation(violation);
  }
  return checker.clean() ? kExitOk : kExitViolation;
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
              100 * static_cast<double>(results.wasted_units) /
                  static_cast<double>(std::max<std::uint64_t>(1, results.completed_units)));
  std::printf("ms: p50 %.2f, p90 %.2f, p99 %.2f, p99.9 %.2f\n", results.percentile(0.5),
              results.percentile(0.9), results.percentile(0.99), results.percentile(0.999));
}

// ---- commands; each returns the exit code ----

int Simulate(const Experiment& experiment, const std::string& log_path) {
  EventLog log(log_path);
  LogChecker checker;
  log.on_entry = [&](const LogEntry& entry) { checker.Observe(entry); };
  const auto start = std::chrono::steady_clock::now();
  const SimulationResults results =
      Simulation(experiment, &log).Run([](double part) { std::fprintf(stderr, "\r%3.0f %%", 100 * part); });
  const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  std::fprintf(stderr, "\r");
  PrintResults(results);
  std::printf("%.1f s, %.1f us a request; log of %llu entries, sum %08x\n", seconds,
              1e6 * seconds / static_cast<double>(std::max<std::uint64_t>(1, results.requests)),
              Printable{log.entries()}, log.checksum());
  return ReportViolations(checker);
}

int CheckLog(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw EventLogError("cannot read " + path);
  }
  LogChecker checker;
  std::string line;
  for (int number = 1; std::getline(file, line); ++number) {
    const std::optional<LogEntry> entry = walnutspur::lab::ParseEntry(line);
    if (!entry) {
      throw EventLogError(path + ":" + std::to_string(number) + ": is no entry of an event log");
    }
    checker.Observe(*entry);
  }
  for (const auto& [invariant, count] : checker.counts()) {
    std::printf("%s: %llu\n", invariant.c_str(), Printable{count});
  }
  return ReportViolations(checker);
}

// Shrinks the failing experiment and prints it, or writes it to `replay_path` if that is not empty.
void ReportSmallest(const Experiment& base, const CheckedRun& failing, const std::string& replay_path) {
  const std::string invariant = failing.violations.front().invariant;
  const Experiment smallest = Shrink(DrawExperiment(base, failing.seed), invariant, kMaxShrinkRuns);
  if (replay_path.empty()) {
    std::printf("# the smallest that still breaks %s:\n%s", invariant.c_str(),
                FormatExperiment(smallest).c_str());
  } else {
    std::ofstream(replay_path) << FormatExperiment(smallest);
    std::printf("the smallest that still breaks %s is in %s\n", invariant.c_str(), replay_path.c_str());
  }
}

int ExploreSeeds(const Experiment& base, std::uint64_t first, std::uint64_t last,
                 const std::string& replay_path) {
  const auto jobs = static_cast<int>(std::max(1u, std::thread::hardware_concurrency()));
  std::uint64_t runs = 0;
  std::uint64_t failing = 0;
  std::uint64_t requests = 0;
  std::optional<CheckedRun> first_failing;  // by seed
  Explore(base, first, last, jobs, false, [&](const CheckedRun& run) {
    ++runs;
    requests += run.results.requests;
    if (runs % kProgressStep == 0) {
      std::fprintf(stderr, "\r%llu worlds", Printable{runs});
    }
    if (run.violations.empty()) {
      return;
    }
    ++failing;
    std::printf("seed %llu ", Printable{run.seed});
    PrintViolation(run.violations.front());
    if (!first_failing || run.seed < first_failing->seed) {
      first_failing = run;
    }
  });
  std::fprintf(stderr, "\r");
  std::printf("%llu worlds, %llu requests, %llu broke a rule\n", Printable{runs}, Printable{requests},
              Printable{failing});
  if (!first_failing) {
    return kExitOk;
  }
  ReportSmallest(base, *first_failing, replay_path);
  return kExitViolation;
}

// ---- command line ----

// The options of all commands, and which command was chosen.
struct Options {
  std::string file;
  std::string log_path;
  std::string replay_path;
  std::string policy;
  std::optional<std::uint64_t> seed;
  std::uint64_t first_seed = 1;
  std::uint64_t last_seed = 100;
  CLI::App* simulate = nullptr;
  CLI::App* explore = nullptr;
  CLI::App* check = nullptr;
  CLI::App* keys = nullptr;
};

void DeclareOptions(CLI::App* cli, Options* options) {
  cli->require_subcommand(1);
  cli->footer(
      "Exit codes: 0 done and every rule kept, 1 a rule broke, 2 the experiment or the command line is "
      "wrong.");
  CLI::App* simulate =
      cli->add_subcommand("simulate", "Play an experiment and hold the rules against its log");
  simulate->add_option("FILE", options->file, "The experiment (TOML)")->required();
  simulate->add_option("--seed", options->seed, "In place of the file's");
  simulate->add_option("--policy", options->policy,
                       "In place of the file's: walnutspur, at-once, buckets or least-out");
  simulate->add_option("--log", options->log_path, "Write the event log there");
  CLI::App* explore =
      cli->add_subcommand("explore", "Draw many worlds round an experiment, and shrink a failing one");
  explore->add_option("FILE", options->file, "The experiment (TOML)")->required();
  explore->add_option("--from", options->first_seed, "The first seed")->capture_default_str();
  explore->add_option("--to", options->last_seed, "The last seed")->capture_default_str();
  explore->add_option("--replay", options->replay_path, "Write the small failing experiment there");
  CLI::App* check = cli->add_subcommand("check", "Hold the rules against an event log");
  check->add_option("LOG", options->file, "What simulate --log wrote")->required();
  options->simulate = simulate;
  options->explore = explore;
  options->check = check;
  options->keys = cli->add_subcommand("keys", "Print what an experiment may say, with defaults");
}

int RunCommand(const Options& options) {
  if (options.keys->parsed()) {
    std::fputs(walnutspur::config::Example(walnutspur::lab::ExperimentKeys()).c_str(), stdout);
    return kExitOk;
  }
  if (options.check->parsed()) {
    return CheckLog(options.file);
  }
  Experiment experiment = walnutspur::lab::LoadExperiment(options.file);
  if (options.seed) {
    experiment.seed = *options.seed;
  }
  if (!options.policy.empty()) {
    experiment.policy = options.policy;
  }
  if (options.simulate->parsed()) {
    return Simulate(experiment, options.log_path);
  }
  return ExploreSeeds(experiment, options.first_seed, options.last_seed, options.replay_path);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App cli{"walnutspur-lab: experiments on the decisions, in virtual time."};
  Options options;
  DeclareOptions(&cli, &options);
  try {
    cli.parse(argc, argv);
  } catch (const CLI::Success& help) {
    return cli.exit(help);
  } catch (const CLI::ParseError& error) {
    std::fprintf(stderr, "walnutspur-lab: %s (see walnutspur-lab --help)\n", error.what());
    return kExitUsage;
  }
  try {
    return RunCommand(options);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "walnutspur-lab: %s\n", error.what());
    return kExitUsage;
  }
}
