#include "lab/bench/simulation_bench.h"

#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <functional>
#include <nlohmann/json.hpp>
#include <vector>

#include "lab/sim/experiment.h"
#include "lab/sim/experiment_file.h"
#include "lab/sim/explore.h"
#include "lab/sim/log_checker.h"
#include "lab/sim/simulation.h"

namespace walnutspur::lab {
namespace {

using sim::CheckedRun;
using sim::Experiment;
using sim::Explore;
using sim::FaultKind;
using sim::LogViolation;
using sim::ParseExperiment;
using sim::RunChecked;
using sim::SimulationResults;

using nlohmann::json;

using Change = std::function<void(Experiment*)>;

constexpr double kUnitTime = 20;        // ms
constexpr int kMaxPrintedFailures = 5;  // of drawn experiments with a violation
constexpr double kKilobytesPerGigabyte = 1e6;

template <typename... Numbers>
std::string Text(const char* format, Numbers... numbers) {
  std::array<char, 200> text;
  std::snprintf(text.data(), text.size(), format, numbers...);
  return text.data();
}

// Returns the peak memory use of this process.
double PeakGigabytes() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_maxrss) / kKilobytesPerGigabyte;
}

// Cost and result of a checked run.
struct Cost {
  double seconds = 0;
  double micros_per_request = 0;
  double requests = 0;
  bool clean = false;  // no invariant is violated
};

Cost Measure(const Experiment& experiment) {
  const auto start = std::chrono::steady_clock::now();
  const CheckedRun run = RunChecked(experiment);
  Cost cost;
  cost.seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  cost.requests = static_cast<double>(run.results.requests);
  cost.clean = run.violations.empty();
  cost.micros_per_request = 1e6 * cost.seconds / std::max(1.0, cost.requests);
  for (const LogViolation& violation : run.violations) {
    std::printf("     broken %s: %s\n", violation.invariant.c_str(), violation.description.c_str());
  }
  return cost;
}

// Class SimulationBench measures the claims and stores their figures.
class SimulationBench {
 public:
  explicit SimulationBench(const SimulationBenchOptions& options) : options_(options) {}

  bool Run() {
    if (Includes("size")) {
      MeasureSize();
    }
    if (Includes("worlds")) {
      CheckDrawnExperiments();
    }
    if (Includes("signs")) {
      CheckKnownEffects();
    }
    if (Includes("sizes")) {
      MeasureFleetSizes();
    }
    const json summary = {
        {"bench", "lab"}, {"seed", options_.seed}, {"short", options_.brief}, {"claims", figures_}};
    std::printf("%s\n", summary.dump().c_str());
    return !missed_;
  }

 private:
  bool Includes(const char* part) const { return options_.parts.empty() || options_.parts.contains(part); }

  void Claim(const std::string& name, bool met, const std::string& figure) {
    std::printf("%-4s %s: %s\n", met ? "met" : "MISS", name.c_str(), figure.c_str());
    std::fflush(stdout);
    figures_[name] = {{"met", met}, {"figure", figure}};
    missed_ = missed_ || !met;
  }

  Experiment Fleet(int initiators, int servers, double seconds) const {
    Experiment experiment =
        ParseExperiment("[boxes]\nunit_ms = " + std::to_string(kUnitTime) + "\n", "bench");
    experiment.seed = options_.seed;
    experiment.initiators = initiators;
    experiment.servers = servers;
    experiment.tenants[0].volumes = 4 * servers;
    experiment.duration = static_cast<Time>(seconds * 1e6);
    return experiment;
  }

  // ---- 3. size ----

  void MeasureSize() {
    // 60 servers with 4 slots at 20 ms per unit receive 7,200 requests per second at a load factor of 0.6.
    const double seconds = options_.brief ? 30 : 600;
    const Cost middle = Measure(Fleet(100, 60, seconds));
    Claim("3 100 initiators by 60 boxes", middle.seconds <= 60 * seconds / 600 && middle.clean,
          Text("%.0f simulated seconds in %.1f s, %.0f requests, %.1f us a request", seconds, middle.seconds,
               middle.requests, middle.micros_per_request));
    const double minute = options_.brief ? 3 : 60;
    const Cost large = Measure(Fleet(1000, 500, minute));
    Claim("3 1,000 initiators by 500 boxes",
          large.seconds <= 300 * minute / 60 && PeakGigabytes() <= 4 && large.clean,
          Text("%.0f simulated seconds in %.1f s, %.0f requests, %.2f GB", minute, large.seconds,
               large.requests, PeakGigabytes()));
    const Cost small = Measure(Fleet(100, 50, options_.brief ? 10 : 60));
    Claim("3 cost a request, ten times the size", true,
          Text("%.1f us at 100 by 50, %.1f us at 1,000 by 500: %.2f times", small.micros_per_request,
               large.micros_per_request, large.micros_per_request / small.micros_per_request));
  }

  // ---- 5. invariants in drawn experiments ----

  void CheckDrawnExperiments() {
    const Experiment base = ParseExperiment(
        "length_s = 8.0\n[fleet]\ninitiators = 8\n[boxes]\ncount = 10\nunit_ms = 16.0\n", "bench");
    const std::uint64_t wanted = options_.brief ? 200 : 5000;
    const std::uint64_t first = options_.seed * 100'000;
    std::uint64_t runs = 0;
    std::uint64_t failing = 0;
    std::uint64_t requests = 0;
    Explore(base, first, first + wanted - 1, 4, false, [&](const CheckedRun& run) {
      ++runs;
      requests += run.results.requests;
      if (run.violations.empty()) {
        return;
      }
      ++failing;
      if (failing <= kMaxPrintedFailures) {
        std::printf("     seed %s broke %s: %s\n", std::to_string(run.seed).c_str(),
                    run.violations[0].invariant.c_str(), run.violations[0].description.c_str());
      }
    });
    Claim("5 drawn worlds keep the rules", failing == 0,
          Text("%.0f of %.0f broke one, %.0f requests", static_cast<double>(failing),
               static_cast<double>(runs), static_cast<double>(requests)));
  }

  // ---- 6. changes with a known effect, from the journal or from arithmetic ----

  // Returns the mean service of an overloaded fleet with faults after `change` was applied.
  double ServiceAfter(const Change& change) const {
    double sum = 0;
    const int seeds = options_.brief ? 2 : 6;
    for (int i = 0; i < seeds; ++i) {
      Experiment experiment = Fleet(5, 20, options_.brief ? 10 : 30);
      experiment.load_factor = 1.2;
      experiment.seed = options_.seed * 10 + static_cast<std::uint64_t>(i);
      experiment.faults = {{FaultKind::kSlow, 2'000'000, 6'000'000, 0, 4, 0.2, 0},
                           {FaultKind::kFreeze, 4'000'000, 1'500'000, 6, 2, 0, 0}};
      change(&experiment);
      sum += RunChecked(experiment).results.service();
    }
    return sum / seeds;
  }

  // Returns the mean service if connections break often.
  double ServiceWithLoss(int max_attempts) const {
    return ServiceAfter([max_attempts](Experiment* experiment) {
      experiment->load_factor = 0.6;
      experiment->loss_probability = 0.05;
      experiment->max_attempts = max_attempts;
    });
  }

  void CheckKnownEffects() {
    const double scheduler = ServiceAfter([](Experiment*) {});
    const auto compare = [&](const std::string& name, bool better, const Change& change) {
      const double other = ServiceAfter(change);
      Claim("6 " + name, better ? other > scheduler : other < scheduler,
            Text("%.4f, the module as it stands %.4f", other, scheduler));
    };
    compare("everything at once is worse", false,
            [](Experiment* experiment) { experiment->policy = "at-once"; });
    compare("even buckets without the loop are worse", false,
            [](Experiment* experiment) { experiment->policy = "buckets"; });
    const double three = ServiceWithLoss(3);
    const double one = ServiceWithLoss(1);
    Claim("6 where connections break, one attempt is worse than three", one < three,
          Text("%.4f, with three %.4f", one, three));
    compare("less load is better", true, [](Experiment* experiment) { experiment->load_factor = 0.8; });
  }

  // ---- 7. service by fleet size ----

  Experiment FleetWithTwoPlans(int initiators) const {
    Experiment experiment = Fleet(initiators, 60, options_.brief ? 10 : 20);
    experiment.load_factor = 0.85;
    experiment.tenants.resize(2);
    experiment.tenants[0].volumes = 200;
    experiment.tenants[1].name = "bulk";
    experiment.tenants[1].volumes = 40;
    experiment.tenants[1].weight = 0.3;
    return experiment;
  }

  void MeasureCurve(const std::string& name, const Change& change) {
    std::vector<double> services;
    std::string figures;
    for (const int initiators : {5, 30, 100, 300, 1000}) {
      if (options_.brief && initiators > 100) {
        break;
      }
      Experiment experiment = FleetWithTwoPlans(initiators);
      change(&experiment);
      const SimulationResults results = RunChecked(experiment).results;
      figures += (figures.empty() ? "" : ", ") + std::to_string(initiators) + ": " +
                 Text("%.4f (worst 10 s %.4f)", results.service(), results.worst_service(10));
      services.push_back(results.service());
    }
    const double first = services.front();
    const double last = services.back();
    Claim("7 service against the fleet's size, " + name, last >= first - 0.1,
          figures + Text("; the last is %+.4f", last - first));
  }

  void MeasureFleetSizes() {
    MeasureCurve("calm", [](Experiment*) {});
    MeasureCurve("a release of 36 of 60 boxes", [](Experiment* experiment) {
      experiment->faults = {{FaultKind::kReplace, 2'000'000, 2'000'000, 0, 36, 0, 100'000}};
    });
    MeasureCurve("all boxes start anew within 3 s", [](Experiment* experiment) {
      experiment->faults = {{FaultKind::kRestart, 2'000'000, 1'000'000, 0, 60, 0, 50'000}};
    });
    MeasureCurve("a plan asks six times as much", [](Experiment* experiment) {
      experiment->faults = {{FaultKind::kSurge, 2'000'000, 6'000'000, 1, 1, 6, 0}};
    });
  }

  SimulationBenchOptions options_;
  bool missed_ = false;
  json figures_ = json::object();  // by claim
};

}  // namespace

bool RunSimulationBench(const SimulationBenchOptions& options) { return SimulationBench(options).Run(); }

}  // namespace walnutspur::lab
