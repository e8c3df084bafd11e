// walnutspur-lab explore: runs many random variants of an experiment and shrinks the first that violates an
// invariant.
#include "lab/sim/explore.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "lab/commands/command.h"
#include "lab/commands/log_report.h"
#include "lab/sim/experiment.h"
#include "lab/sim/experiment_file.h"

namespace walnutspur::lab {
namespace {

using sim::CheckedRun;
using sim::DrawExperiment;
using sim::Experiment;
using sim::Explore;
using sim::FormatExperiment;
using sim::LoadExperiment;
using sim::Shrink;

constexpr int kMaxShrinkRuns = 200;
constexpr std::uint64_t kProgressStep = 10;  // runs between two progress reports

struct ExploreOptions {
  std::string file;
  std::uint64_t first_seed = 1;
  std::uint64_t last_seed = 100;
  std::string replay_path;  // file for the shrunk experiment; empty: prints it
};

// Totals of the runs that have ended.
struct Progress {
  std::uint64_t runs = 0;
  std::uint64_t failing = 0;
  std::uint64_t requests = 0;
  std::optional<CheckedRun> first_failing;  // the one with the lowest seed
};

void Add(const CheckedRun& run, Progress* progress) {
  ++progress->runs;
  progress->requests += run.results.requests;
  if (progress->runs % kProgressStep == 0) {
    std::fprintf(stderr, "\r%llu experiments", Printable{progress->runs});
  }
  if (run.violations.empty()) {
    return;
  }
  ++progress->failing;
  std::printf("seed %llu ", Printable{run.seed});
  PrintViolation(run.violations.front());
  if (!progress->first_failing || run.seed < progress->first_failing->seed) {
    progress->first_failing = run;
  }
}

// Shrinks the failing experiment, and prints it or writes it to `replay_path`.
void ReportShrunkExperiment(const Experiment& base, const CheckedRun& failing,
                            const std::string& replay_path) {
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

ExitCode ExploreSeeds(const ExploreOptions& options) {
  const Experiment base = LoadExperiment(options.file);
  const auto jobs = static_cast<int>(std::max(1U, std::thread::hardware_concurrency()));
  Progress progress;
  Explore(base, options.first_seed, options.last_seed, jobs, false,
          [&](const CheckedRun& run) { Add(run, &progress); });
  std::fprintf(stderr, "\r");
  std::printf("%llu worlds, %llu requests, %llu broke a rule\n", Printable{progress.runs},
              Printable{progress.requests}, Printable{progress.failing});
  if (!progress.first_failing) {
    return kExitOk;
  }
  ReportShrunkExperiment(base, *progress.first_failing, options.replay_path);
  return kExitViolation;
}

}  // namespace

Command DeclareExplore(CLI::App& program) {
  const auto options = std::make_shared<ExploreOptions>();
  CLI::App* const cli = program.add_subcommand(
      "explore", "Run many random variants of an experiment and shrink the first that violates an invariant");
  cli->add_option("FILE", options->file, "Experiment file (TOML)")->required();
  cli->add_option("--from", options->first_seed, "First seed")->capture_default_str();
  cli->add_option("--to", options->last_seed, "Last seed")->capture_default_str();
  cli->add_option("--replay", options->replay_path, "Write the shrunk experiment to this file");
  return {cli, [options] { return ExploreSeeds(*options); }};
}

}  // namespace walnutspur::lab
