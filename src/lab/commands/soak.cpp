// walnutspur-lab soak: runs random fault plans on real processes over loopback and checks the invariants on
// their records.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "lab/commands/command.h"
#include "lab/invariants/invariant_names.h"
#include "lab/soak/evidence.h"
#include "lab/soak/plan.h"
#include "lab/soak/run.h"

namespace walnutspur::lab {
namespace {

using soak::Describe;
using soak::DrawExtendedPlan;
using soak::DrawPlan;
using soak::RunPlan;
using soak::Shrink;
using soak::SoakPlan;
using soak::SoakPrograms;
using soak::SoakResult;
using soak::Violation;

constexpr int kShrinkRuns = 12;
constexpr Time kMicrosecondsPerMillisecond = 1'000;

struct SoakOptions {
  std::uint64_t seed = 1;
  int count = 1;
  int parallel = 2;
  bool shrinks = false;
  bool is_extended = false;
  std::string evidence_folder = "soak-evidence";  // for the evidence of runs that violate an invariant
  SoakPrograms programs;
};

// Draws and runs one plan per seed, several concurrently, and prints each result.
class SoakRunner {
 public:
  explicit SoakRunner(const SoakOptions& options) : options_(options) {}

  ExitCode Run() {
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(options_.parallel));
    for (int number = 0; number < options_.parallel; ++number) {
      threads.emplace_back([this] { RunSeeds(); });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    std::printf("seeds %d, broken %zu", options_.count, failing_plans_.size());
    for (const auto& [invariant, count] : violations_) {
      std::printf(", %s %zu", invariant.c_str(), count);
    }
    std::printf("\nevents");
    for (const auto& [kind, count] : events_) {
      std::printf(", %s %zu", std::string(soak::NameOf(kind)).c_str(), count);
    }
    std::printf("\n");
    return failing_plans_.empty() ? kExitOk : kExitViolation;
  }

 private:
  void RunSeeds() {
    for (int number = next_++; number < options_.count; number = next_++) {
      const std::uint64_t seed = options_.seed + static_cast<std::uint64_t>(number);
      const SoakPlan plan = options_.is_extended ? DrawExtendedPlan(seed) : DrawPlan(seed);
      Report(plan, RunOrFail(plan));
    }
  }

  // Runs the plan. A plan that cannot be run is reported as a violation.
  SoakResult RunOrFail(const SoakPlan& plan) const {
    try {
      return RunPlan(plan, options_.programs);
    } catch (const std::exception& error) {
      SoakResult result;
      Violation failed;
      failed.invariant = invariants::name::kProcessCrash;
      failed.description = error.what();
      result.violations.push_back(failed);
      return result;
    }
  }

  void Report(const SoakPlan& plan, const SoakResult& result) {
    const std::lock_guard lock(mutex_);
    for (const soak::FaultEvent& event : plan.events) {
      ++events_[event.kind];
    }
    std::printf("seed %llu: %zu requests, %zu attempts, served %.3f, stall %d ms, violations %zu\n",
                static_cast<unsigned long long>(plan.seed),  // NOLINT(google-runtime-int): printf's %llu
                result.requests, result.attempts, result.served_fraction,
                static_cast<int>(result.longest_stall / kMicrosecondsPerMillisecond),
                result.violations.size());
    std::fflush(stdout);
    if (result.violations.empty()) {
      return;
    }
    failing_plans_.push_back(plan);
    for (const Violation& violation : result.violations) {
      ++violations_[violation.invariant];
    }
    std::printf("%s", Describe(plan).c_str());
    for (std::size_t shown = 0; shown < std::min<std::size_t>(3, result.violations.size()); ++shown) {
      const Violation& violation = result.violations[shown];
      std::printf("  broken %s: %s\n", violation.invariant.c_str(), violation.description.c_str());
    }
    std::printf("  evidence: %s\n", soak::WriteEvidence(options_.evidence_folder, plan, result).c_str());
    if (options_.shrinks) {
      std::printf("  shrunk: %s", Describe(Shrink(plan, options_.programs, kShrinkRuns)).c_str());
    }
  }

  SoakOptions options_;
  std::atomic<int> next_{0};
  std::mutex mutex_;                                    // guards the members below and standard output
  std::map<soak::FaultEventKind, std::size_t> events_;  // of all plans, by kind
  std::vector<SoakPlan> failing_plans_;
  std::map<std::string, std::size_t> violations_;  // by invariant
};

void DeclareOptions(CLI::App* cli, SoakOptions* options) {
  cli->add_option("--program", options->programs.program, "Path of the walnutspur program")
      ->required()
      ->check(CLI::ExistingFile);
  cli->add_option("--fault-shim", options->programs.fault_shim,
                  "Path of the fault injection library to preload; without it no system call is made to fail")
      ->check(CLI::ExistingFile);
  cli->add_option("--seed", options->seed, "First seed");
  cli->add_option("--count", options->count, "Number of consecutive seeds to run")
      ->check(CLI::Range(1, 10'000));
  cli->add_option("--parallel", options->parallel, "Number of runs at a time")->check(CLI::Range(1, 16));
  cli->add_flag("--extended", options->is_extended,
                "Add crowds of clients and signals in series to the plans");
  cli->add_option(
      "--evidence,--logs", options->evidence_folder,
      "Write plan, record, load and process logs of runs that violate an invariant below this folder");
  cli->add_flag("--shrink", options->shrinks,
                "Shrink a plan that violates an invariant: remove faults as long as it still does");
}

}  // namespace

Command DeclareSoak(CLI::App& program) {
  const auto options = std::make_shared<SoakOptions>();
  CLI::App* const cli = program.add_subcommand(
      "soak", "Run random fault plans on real processes over loopback and check the invariants");
  DeclareOptions(cli, options.get());
  return {cli, [options] { return SoakRunner(*options).Run(); }};
}

}  // namespace walnutspur::lab
