#include "lab/sim/explore.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>
#include <utility>

#include "lab/random.h"
#include "lab/sim/experiment_file.h"

namespace walnutspur::lab::sim {
namespace {

constexpr std::uint64_t kFaultCountBound = 5;  // exclusive upper bound of the number of drawn faults
constexpr Time kMinProcessFault = 1'500'000;   // us; the drain grace expires within the fault
constexpr Time kPauseInterval = 5'000'000;     // us

std::uint64_t Unsigned(int value) { return static_cast<std::uint64_t>(value); }

// Draws a fault. The order of the draws must not change: a seed would then give another experiment.
FaultPlan DrawFault(const Experiment& experiment, Random* random) {
  FaultPlan fault;
  fault.kind = kFaultKinds[random->Below(kFaultKinds.size())];
  fault.start = static_cast<Time>(random->Uniform() * static_cast<double>(experiment.duration) * 0.8);
  fault.duration = static_cast<Time>(random->Between(0.1e6, 5e6));
  const int targets = FaultTargetCount(experiment, fault.kind);
  const bool single = fault.kind == FaultKind::kPartition || fault.kind == FaultKind::kSurge;
  fault.first = static_cast<int>(random->Below(Unsigned(targets)));
  fault.count = single ? 1 : 1 + static_cast<int>(random->Below(Unsigned(targets - fault.first)));
  fault.factor = fault.kind == FaultKind::kSurge ? random->Between(2, 8) : random->Between(0.05, 0.9);
  fault.stagger = random->Chance(0.5) ? 0 : static_cast<Time>(random->Between(0, 1e6));
  if (StopsProcess(fault.kind)) {
    fault.duration = std::max(fault.duration, kMinProcessFault);
  }
  return fault;
}

// Marks the servers of a fault as stopped; returns whether one of them was already marked.
bool MarkStopped(const FaultPlan& fault, std::vector<bool>* stopped) {
  bool repeated = false;
  for (int server = fault.first; server < fault.first + fault.count; ++server) {
    const auto index = static_cast<std::size_t>(server);
    repeated = repeated || (*stopped)[index];
    (*stopped)[index] = true;
  }
  return repeated;
}

std::vector<FaultPlan> DrawFaults(const Experiment& experiment, Random* random) {
  std::vector<FaultPlan> faults;
  const std::uint64_t count = random->Below(kFaultCountBound);
  std::vector<bool> stopped(static_cast<std::size_t>(experiment.servers), false);
  for (std::uint64_t i = 0; i < count; ++i) {
    const FaultPlan fault = DrawFault(experiment, random);
    if (StopsProcess(fault.kind) && MarkStopped(fault, &stopped)) {
      continue;  // a server stops at most once in a drawn experiment
    }
    faults.push_back(fault);
  }
  return faults;
}

// Returns whether all faults are within the duration and the servers of an experiment that was reduced.
bool FaultsFit(const Experiment& experiment) {
  return std::all_of(experiment.faults.begin(), experiment.faults.end(), [&](const FaultPlan& fault) {
    return fault.start < experiment.duration &&
           (!AffectsServers(fault.kind) || fault.first + fault.count <= experiment.servers);
  });
}

// Returns all experiments that are one step smaller, the largest reductions first.
std::vector<Experiment> SmallerExperiments(const Experiment& experiment) {
  std::vector<Experiment> smaller;
  for (std::size_t index = 0; index < experiment.faults.size(); ++index) {
    smaller.push_back(experiment);
    std::vector<FaultPlan>& faults = smaller.back().faults;
    faults.erase(faults.begin() + static_cast<std::ptrdiff_t>(index));
  }
  const auto add = [&](const std::function<void(Experiment*)>& change) {
    smaller.push_back(experiment);
    change(&smaller.back());
  };
  add([](Experiment* changed) { changed->duration /= 2; });
  add([](Experiment* changed) { changed->load_factor /= 2; });
  add([](Experiment* changed) { changed->initiators = std::max(1, changed->initiators / 2); });
  add([](Experiment* changed) { changed->servers = std::max(2, changed->servers / 2); });
  add([](Experiment* changed) { changed->loss_probability = 0; });
  add([](Experiment* changed) { changed->reorder_probability = 0; });
  add([](Experiment* changed) { changed->clock_drift = 0; });
  add([](Experiment* changed) { changed->pause_interval = 0; });
  return smaller;
}

bool Violates(const CheckedRun& run, const std::string& invariant) {
  return std::any_of(run.violations.begin(), run.violations.end(),
                     [&](const LogViolation& violation) { return violation.invariant == invariant; });
}

}  // namespace

// The order of the draws must not change: a seed would then give another experiment.
Experiment DrawExperiment(const Experiment& base, std::uint64_t seed) {
  Experiment drawn = base;
  Random random(seed, "worlds");
  drawn.seed = seed;
  drawn.initiators = 1 + static_cast<int>(random.Below(Unsigned(base.initiators)));
  drawn.servers = 2 + static_cast<int>(random.Below(Unsigned(std::max(1, base.servers - 1))));
  drawn.load_factor = random.Between(0.2, 1.4);
  drawn.network_delay = static_cast<Time>(random.Between(50, 5000));
  drawn.network_jitter = static_cast<Time>(random.Between(0, 5000));
  if (random.Chance(0.3)) {
    drawn.reorder_probability = random.Between(0, 0.1);
  }
  if (random.Chance(0.3)) {
    drawn.loss_probability = random.Between(0, 0.02);
  }
  if (random.Chance(0.3)) {
    drawn.clock_drift = random.Between(0, 0.002);
  }
  drawn.discovery_delay = static_cast<Time>(random.Between(1'000, 400'000));
  drawn.discovery_jitter = static_cast<Time>(random.Between(0, 1'000'000));
  if (random.Chance(0.5)) {
    drawn.pause_interval = kPauseInterval;
    drawn.pause_duration = static_cast<Time>(random.Between(10'000, 400'000));
  }
  drawn.faults = DrawFaults(drawn, &random);
  return drawn;
}

CheckedRun RunChecked(const Experiment& experiment, const TestHooks& hooks) {
  CheckedRun run;
  run.seed = experiment.seed;
  EventLog log;
  LogChecker checker;
  log.on_entry = [&](const LogEntry& entry) { checker.Observe(entry); };
  run.results = Simulation(experiment, &log, hooks).Run();
  run.violations = checker.violations();
  run.log_checksum = log.checksum();
  return run;
}

void Explore(const Experiment& base, std::uint64_t first, std::uint64_t last, int jobs, bool until_violation,
             const std::function<void(const CheckedRun&)>& on_run, const TestHooks& hooks) {
  std::atomic<std::uint64_t> next = first;
  std::atomic<bool> stop = false;
  std::mutex mutex;
  const auto work = [&] {
    for (std::uint64_t seed = next++; seed <= last && !stop; seed = next++) {
      const CheckedRun run = RunChecked(DrawExperiment(base, seed), hooks);
      const std::lock_guard lock(mutex);
      if (until_violation && !run.violations.empty()) {
        stop = true;
      }
      on_run(run);
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(jobs));
  for (int i = 0; i < jobs; ++i) {
    threads.emplace_back(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

Experiment Shrink(const Experiment& failing, const std::string& invariant, int max_runs,
                  const TestHooks& hooks) {
  Experiment best = failing;
  int runs_left = max_runs;
  const auto still_violates = [&](const Experiment& candidate) {
    return runs_left-- > 0 && Violates(RunChecked(candidate, hooks), invariant);
  };
  for (bool progress = true; progress && runs_left > 0;) {
    progress = false;
    for (Experiment& candidate : SmallerExperiments(best)) {
      const bool changed = FormatExperiment(candidate) != FormatExperiment(best);
      if (!changed || !FaultsFit(candidate) || !still_violates(candidate)) {
        continue;
      }
      best = std::move(candidate);
      progress = true;
      break;
    }
  }
  return best;
}

}  // namespace walnutspur::lab::sim
