#include "lab/sim/explore.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>
#include <utility>

#include "lab/random.h"

namespace walnutspur::lab {

Experiment Draw(const Experiment& base, std::uint64_t seed) {
  Experiment e = base;
  Random random(seed, "worlds");
  e.seed = seed;
  e.initiators = 1 + static_cast<int>(random.Below(static_cast<std::uint64_t>(base.initiators)));
  e.boxes = 2 + static_cast<int>(random.Below(static_cast<std::uint64_t>(std::max(1, base.boxes - 1))));
  e.load = random.Between(0.2, 1.4);
  e.delay = static_cast<Time>(random.Between(50, 5000));
  e.jitter = static_cast<Time>(random.Between(0, 5000));
  if (random.Chance(0.3)) {
    e.reorder = random.Between(0, 0.1);
  }
  if (random.Chance(0.3)) {
    e.loss = random.Between(0, 0.02);
  }
  if (random.Chance(0.3)) {
    e.drift = random.Between(0, 0.002);
  }
  e.list_delay = static_cast<Time>(random.Between(1'000, 400'000));
  e.list_jitter = static_cast<Time>(random.Between(0, 1'000'000));
  if (random.Chance(0.5)) {
    e.pause_every = 5'000'000;
    e.pause = static_cast<Time>(random.Between(10'000, 400'000));
  }
  e.faults.clear();
  constexpr Trouble kAll[] = {Trouble::kSlow, Trouble::kFreeze,  Trouble::kErrors,  Trouble::kNeighbour,
                              Trouble::kCut,  Trouble::kRestart, Trouble::kReplace, Trouble::kSilence,
                              Trouble::kDeaf, Trouble::kSurge};
  const auto faults = random.Below(5);
  std::vector<bool> ends(static_cast<std::size_t>(e.boxes), false);
  for (std::uint64_t i = 0; i < faults; ++i) {
    FaultPlan f;
    f.trouble = kAll[random.Below(std::size(kAll))];
    f.at = static_cast<Time>(random.Part() * static_cast<double>(e.length) * 0.8);
    f.lasts = static_cast<Time>(random.Between(0.1e6, 5e6));
    const int most = f.trouble == Trouble::kCut     ? e.zones
                     : f.trouble == Trouble::kSurge ? static_cast<int>(e.tenants.size())
                                                    : e.boxes;
    f.first = static_cast<int>(random.Below(static_cast<std::uint64_t>(most)));
    f.count = f.trouble == Trouble::kCut || f.trouble == Trouble::kSurge
                  ? 1
                  : 1 + static_cast<int>(random.Below(static_cast<std::uint64_t>(most - f.first)));
    f.factor = f.trouble == Trouble::kSurge ? random.Between(2, 8) : random.Between(0.05, 0.9);
    f.apart = random.Chance(0.5) ? 0 : static_cast<Time>(random.Between(0, 1e6));
    if (f.trouble == Trouble::kRestart || f.trouble == Trouble::kReplace) {
      f.lasts = std::max<Time>(f.lasts, 1'500'000);  // a drain outlives its grace
      bool taken = false;
      for (int b = f.first; b < f.first + f.count; ++b) {
        taken = taken || ends[static_cast<std::size_t>(b)];
        ends[static_cast<std::size_t>(b)] = true;
      }
      if (taken) {
        continue;  // a box ends once in a drawn world
      }
    }
    e.faults.push_back(f);
  }
  return e;
}

Checked RunChecked(const Experiment& experiment, const Meddling& meddling) {
  Checked run;
  run.seed = experiment.seed;
  Log log;
  Checker checker;
  log.on_entry = [&](const Entry& entry) { checker.Take(entry); };
  run.outcomes = World(experiment, &log, meddling).Run();
  run.breaches = checker.breaches();
  run.sum = log.sum();
  return run;
}

void Explore(const Experiment& base, std::uint64_t first, std::uint64_t last, int jobs, bool until_breach,
             const std::function<void(const Checked&)>& each, const Meddling& meddling) {
  std::atomic<std::uint64_t> next = first;
  std::atomic<bool> stop = false;
  std::mutex mutex;
  const auto work = [&] {
    for (std::uint64_t seed = next++; seed <= last && !stop; seed = next++) {
      const Checked run = RunChecked(Draw(base, seed), meddling);
      const std::lock_guard lock(mutex);
      if (until_breach && !run.breaches.empty()) {
        stop = true;
      }
      each(run);
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < jobs; ++i) {
    threads.emplace_back(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

Experiment Shrink(const Experiment& failing, const std::string& rule, int tries, const Meddling& meddling) {
  Experiment best = failing;
  const auto still = [&](const Experiment& smaller) {
    if (tries-- <= 0) {
      return false;
    }
    const Checked run = RunChecked(smaller, meddling);
    return std::any_of(run.breaches.begin(), run.breaches.end(),
                       [&](const Breach& b) { return b.rule == rule; });
  };
  const auto fits = [](const Experiment& e) {
    return std::all_of(e.faults.begin(), e.faults.end(), [&](const FaultPlan& f) {
      const bool boxes =
          f.trouble != Trouble::kCut && f.trouble != Trouble::kSurge && f.trouble != Trouble::kDeaf;
      return f.at < e.length && (!boxes || f.first + f.count <= e.boxes);
    });
  };
  for (bool smaller = true; smaller && tries > 0;) {
    smaller = false;
    std::vector<Experiment> steps;
    for (std::size_t i = 0; i < best.faults.size(); ++i) {
      steps.push_back(best);
      steps.back().faults.erase(steps.back().faults.begin() + static_cast<std::ptrdiff_t>(i));
    }
    const auto step = [&](auto change) {
      steps.push_back(best);
      change(&steps.back());
    };
    step([](Experiment* e) { e->length /= 2; });
    step([](Experiment* e) { e->load /= 2; });
    step([](Experiment* e) { e->initiators = std::max(1, e->initiators / 2); });
    step([](Experiment* e) { e->boxes = std::max(2, e->boxes / 2); });
    step([](Experiment* e) { e->loss = 0; });
    step([](Experiment* e) { e->reorder = 0; });
    step([](Experiment* e) { e->drift = 0; });
    step([](Experiment* e) { e->pause_every = 0; });
    for (Experiment& candidate : steps) {
      if (Write(candidate) == Write(best) || !fits(candidate) || !still(candidate)) {
        continue;
      }
      best = std::move(candidate);
      smaller = true;
      break;
    }
  }
  return best;
}

}  // namespace walnutspur::lab
