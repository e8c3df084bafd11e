// walnutspur-soak: plays drawn days of faults on real processes over loopback and checks the platform's
// rules.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <exception>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "lab/invariants/invariant_names.h"
#include "lab/soak/plan.h"
#include "lab/soak/run.h"

namespace {

using walnutspur::lab::soak::Describe;
using walnutspur::lab::soak::DrawPlan;
using walnutspur::lab::soak::Play;
using walnutspur::lab::soak::Shrink;
using walnutspur::lab::soak::SoakPlan;
using walnutspur::lab::soak::SoakPrograms;
using walnutspur::lab::soak::SoakResult;
using walnutspur::lab::soak::Violation;

// Exit codes.
constexpr int kExitOk = 0;
constexpr int kExitViolation = 1;
constexpr int kExitUsage = 2;

constexpr int kShrinkRuns = 12;
constexpr walnutspur::Time kMicrosecondsPerMillisecond = 1'000;

struct Options {
  std::uint64_t seed = 1;
  int count = 1;
  int parallel = 2;
  bool shrinks = false;
  std::string log_folder;  // for the processes' logs of broken runs; empty: none
  SoakPrograms programs;
};

// Plays the seeds of the options, some at a time, and prints each result.
class Soak {
 public:
  explicit Soak(const Options& options) : options_(options) {}

  int Run() {
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(options_.parallel));
    for (int number = 0; number < options_.parallel; ++number) {
      threads.emplace_back([this] { PlaySeeds(); });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    std::printf("seeds %d, broken %zu", options_.count, broken_.size());
    for (const auto& [rule, count] : rules_) {
      std::printf(", %s %zu", rule.c_str(), count);
    }
    std::printf("\n");
    return broken_.empty() ? kExitOk : kExitViolation;
  }

 private:
  void PlaySeeds() {
    for (int number = next_++; number < options_.count; number = next_++) {
      const SoakPlan plan = DrawPlan(options_.seed + static_cast<std::uint64_t>(number));
      Report(plan, PlayOrFail(plan));
    }
  }

  // A run that cannot be played is broken too.
  SoakResult PlayOrFail(const SoakPlan& plan) const {
    try {
      return Play(plan, options_.programs);
    } catch (const std::exception& error) {
      SoakResult result;
      Violation failed;
      failed.invariant = walnutspur::lab::invariants::name::kProcessCrash;
      failed.description = error.what();
      result.violations.push_back(failed);
      return result;
    }
  }

  void Report(const SoakPlan& plan, const SoakResult& result) {
    const std::lock_guard lock(mutex_);
    std::printf("seed %llu: %zu requests, %zu attempts, served %.3f, stall %d ms, violations %zu\n",
                static_cast<unsigned long long>(plan.seed),  // NOLINT(google-runtime-int): printf's %llu
                result.requests, result.attempts, result.served,
                static_cast<int>(result.longest_stall / kMicrosecondsPerMillisecond),
                result.violations.size());
    std::fflush(stdout);
    if (result.violations.empty()) {
      return;
    }
    broken_.push_back(plan);
    WriteLogs(plan, result);
    for (const Violation& violation : result.violations) {
      ++rules_[violation.invariant];
    }
    std::printf("%s", Describe(plan).c_str());
    for (std::size_t shown = 0; shown < std::min<std::size_t>(3, result.violations.size()); ++shown) {
      const Violation& violation = result.violations[shown];
      std::printf("  broken %s: %s\n", violation.invariant.c_str(), violation.description.c_str());
    }
    if (options_.shrinks) {
      std::printf("  shrunk: %s", Describe(Shrink(plan, options_.programs, kShrinkRuns)).c_str());
    }
  }

  void WriteLogs(const SoakPlan& plan, const SoakResult& result) const {
    if (options_.log_folder.empty()) {
      return;
    }
    for (const auto& [process, text] : result.logs) {
      const std::string name = "seed-" + std::to_string(plan.seed) + "-n" + std::to_string(process) + ".log";
      std::ofstream(options_.log_folder + "/" + name) << text;
    }
  }

  Options options_;
  std::atomic<int> next_{0};
  std::mutex mutex_;  // guards the two below and standard output
  std::vector<SoakPlan> broken_;
  std::map<std::string, std::size_t> rules_;
};

}  // namespace

int main(int argc, char** argv) {
  Options options;
  CLI::App app("Plays drawn days of faults on real processes over loopback and checks the platform's rules.");
  app.add_option("--program", options.programs.program, "path of the walnutspur program")
      ->required()
      ->check(CLI::ExistingFile);
  app.add_option("--fault-shim", options.programs.fault_shim,
                 "path of the library to preload; without it no system call fails")
      ->check(CLI::ExistingFile);
  app.add_option("--seed", options.seed, "the first seed");
  app.add_option("--count", options.count, "how many seeds")->check(CLI::Range(1, 10'000));
  app.add_option("--parallel", options.parallel, "runs at a time")->check(CLI::Range(1, 16));
  app.add_option("--logs", options.log_folder, "a folder for the processes' logs of broken runs")
      ->check(CLI::ExistingDirectory);
  app.add_flag("--shrink", options.shrinks, "drop faults from a plan that breaks a rule while it still does");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kExitOk : kExitUsage;
  }
  return Soak(options).Run();
}
