// walnutspur-lab: experiments on the decisions, in virtual time.
#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <exception>
#include <fstream>
#include <string>
#include <thread>

#include "lab/experiment.h"
#include "lab/sim/checker.h"
#include "lab/sim/explore.h"
#include "lab/sim/world.h"

namespace {

using namespace walnutspur::lab;

constexpr int kWrong = 2;  // exit code of an experiment or a command line that cannot be understood
constexpr int kShrinkTries = 200;

void PrintBreach(const Breach& breach) {
  std::printf("broken %s: %s, by: %s", breach.rule.c_str(), breach.what.c_str(), Line(breach.entry).c_str());
}

void PrintOutcomes(const Outcomes& o) {
  std::uint64_t served = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t timed_out = 0;
  for (const Second& s : o.seconds) {
    served += s.served, late += s.late, refused += s.refused, failed += s.failed, timed_out += s.timed_out;
  }
  std::printf("service %.4f, worst 10 s %.4f\n", o.service(), o.worst(10));
  std::printf("requests %llu: served %llu (late %llu), refused %llu, failed %llu, timed out %llu\n",
              (unsigned long long)o.requests, (unsigned long long)served, (unsigned long long)late,
              (unsigned long long)refused, (unsigned long long)failed, (unsigned long long)timed_out);
  std::printf("attempts %.3f a request, work for nobody %.2f %%\n",
              static_cast<double>(o.attempts) / static_cast<double>(std::max<std::uint64_t>(1, o.requests)),
              100 * static_cast<double>(o.wasted) / static_cast<double>(std::max<std::uint64_t>(1, o.done)));
  std::printf("ms: p50 %.2f, p90 %.2f, p99 %.2f, p99.9 %.2f\n", o.percentile(0.5), o.percentile(0.9),
              o.percentile(0.99), o.percentile(0.999));
}

int Simulate(const Experiment& experiment, const std::string& path) {
  Log log(path);
  Checker checker;
  log.on_entry = [&](const Entry& entry) { checker.Take(entry); };
  const auto from = std::chrono::steady_clock::now();
  const Outcomes outcomes =
      World(experiment, &log).Run([](double part) { std::fprintf(stderr, "\r%3.0f %%", 100 * part); });
  const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - from).count();
  std::fprintf(stderr, "\r");
  PrintOutcomes(outcomes);
  std::printf("%.1f s, %.1f us a request; log of %llu entries, sum %08x\n", seconds,
              1e6 * seconds / static_cast<double>(std::max<std::uint64_t>(1, outcomes.requests)),
              (unsigned long long)log.entries(), log.sum());
  for (const Breach& breach : checker.breaches()) {
    PrintBreach(breach);
  }
  return checker.clean() ? 0 : 1;
}

int Check(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw std::runtime_error("cannot read " + path);
  }
  Checker checker;
  std::string line;
  for (int number = 1; std::getline(file, line); ++number) {
    const auto entry = ParseEntry(line);
    if (!entry) {
      throw std::runtime_error(path + ":" + std::to_string(number) + ": is no entry of an event log");
    }
    checker.Take(*entry);
  }
  for (const auto& [rule, count] : checker.counts()) {
    std::printf("%s: %llu\n", rule.c_str(), (unsigned long long)count);
  }
  for (const Breach& breach : checker.breaches()) {
    PrintBreach(breach);
  }
  return checker.clean() ? 0 : 1;
}

int ExploreSeeds(const Experiment& base, std::uint64_t first, std::uint64_t last, const std::string& replay) {
  const int jobs = std::max(1u, std::thread::hardware_concurrency());
  std::uint64_t worlds = 0;
  std::uint64_t failing = 0;
  std::uint64_t requests = 0;
  std::optional<Checked> worst;
  Explore(base, first, last, jobs, false, [&](const Checked& run) {
    ++worlds;
    requests += run.outcomes.requests;
    if (worlds % 10 == 0) {
      std::fprintf(stderr, "\r%llu worlds", (unsigned long long)worlds);
    }
    if (run.breaches.empty()) {
      return;
    }
    ++failing;
    std::printf("seed %llu ", (unsigned long long)run.seed);
    PrintBreach(run.breaches.front());
    if (!worst || run.seed < worst->seed) {
      worst = run;
    }
  });
  std::fprintf(stderr, "\r");
  std::printf("%llu worlds, %llu requests, %llu broke a rule\n", (unsigned long long)worlds,
              (unsigned long long)requests, (unsigned long long)failing);
  if (!worst) {
    return 0;
  }
  const std::string rule = worst->breaches.front().rule;
  const Experiment small = Shrink(Draw(base, worst->seed), rule, kShrinkTries);
  if (replay.empty()) {
    std::printf("# the smallest that still breaks %s:\n%s", rule.c_str(), Write(small).c_str());
  } else {
    std::ofstream(replay) << Write(small);
    std::printf("the smallest that still breaks %s is in %s\n", rule.c_str(), replay.c_str());
  }
  return 1;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App cli{"walnutspur-lab: experiments on the decisions, in virtual time."};
  cli.require_subcommand(1);
  cli.footer(
      "Exit codes: 0 done and every rule kept, 1 a rule broke, 2 the experiment or the command line is "
      "wrong.");
  std::string file;
  std::string log;
  std::string replay;
  std::string policy;
  std::optional<std::uint64_t> seed;
  std::uint64_t first = 1;
  std::uint64_t last = 100;
  CLI::App* simulate =
      cli.add_subcommand("simulate", "Play an experiment and hold the rules against its log");
  simulate->add_option("FILE", file, "The experiment (TOML)")->required();
  simulate->add_option("--seed", seed, "In place of the file's");
  simulate->add_option("--policy", policy,
                       "In place of the file's: walnutspur, at-once, buckets or least-out");
  simulate->add_option("--log", log, "Write the event log there");
  CLI::App* explore =
      cli.add_subcommand("explore", "Draw many worlds round an experiment, and shrink a failing one");
  explore->add_option("FILE", file, "The experiment (TOML)")->required();
  explore->add_option("--from", first, "The first seed")->capture_default_str();
  explore->add_option("--to", last, "The last seed")->capture_default_str();
  explore->add_option("--replay", replay, "Write the small failing experiment there");
  CLI::App* check = cli.add_subcommand("check", "Hold the rules against an event log");
  check->add_option("LOG", file, "What simulate --log wrote")->required();
  CLI::App* keys = cli.add_subcommand("keys", "Print what an experiment may say, with defaults");
  try {
    cli.parse(argc, argv);
  } catch (const CLI::Success& help) {
    return cli.exit(help);
  } catch (const CLI::ParseError& error) {
    std::fprintf(stderr, "walnutspur-lab: %s (see walnutspur-lab --help)\n", error.what());
    return kWrong;
  }
  try {
    if (keys->parsed()) {
      std::fputs(walnutspur::config::Example(ExperimentKeys()).c_str(), stdout);
      return 0;
    }
    if (check->parsed()) {
      return Check(file);
    }
    Experiment experiment = LoadExperiment(file);
    if (seed) {
      experiment.seed = *seed;
    }
    if (!policy.empty()) {
      experiment.policy = policy;
    }
    return simulate->parsed() ? Simulate(experiment, log) : ExploreSeeds(experiment, first, last, replay);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "walnutspur-lab: %s\n", error.what());
    return kWrong;
  }
}
