// make bench-lab: what the laboratory's virtual fleet costs and whether it can be believed. SEED= draws
// another run, SHORT=1 a short one. Prints each claim with its figure and one JSON object last; exit code 1
// if a claim is missed.
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "lab/experiment.h"
#include "lab/experiment_file.h"
#include "lab/sim/explore.h"
#include "lab/sim/invariant_checker.h"
#include "lab/sim/simulation.h"

namespace {

using namespace walnutspur;
using namespace walnutspur::lab;
using nlohmann::json;

std::uint64_t g_seed = 1;
bool g_short = false, g_missed = false;
json g_figures = json::object();

void Claim(const std::string& name, bool met, const std::string& figure) {
  std::printf("%-4s %s: %s\n", met ? "met" : "MISS", name.c_str(), figure.c_str());
  std::fflush(stdout);
  g_figures[name] = {{"met", met}, {"figure", figure}};
  g_missed = g_missed || !met;
}

std::string Text(const char* format, double a, double b = 0, double c = 0, double d = 0) {
  char text[200];
  std::snprintf(text, sizeof text, format, a, b, c, d);
  return text;
}

double Gigabytes() {  // the most that this process has held
  rusage use{};
  getrusage(RUSAGE_SELF, &use);
  return static_cast<double>(use.ru_maxrss) / 1e6;
}

Experiment Fleet(int initiators, int boxes, double seconds, double unit_ms) {
  Experiment e = ParseExperiment("[boxes]\nunit_ms = " + std::to_string(unit_ms) + "\n", "bench");
  e.seed = g_seed;
  e.initiators = initiators;
  e.servers = boxes;
  e.tenants[0].volumes = 4 * boxes;
  e.duration = static_cast<Time>(seconds * 1e6);
  return e;
}

struct Cost {
  double seconds = 0, a_request = 0;
  SimulationResults outcomes;
  bool clean = false;
};
Cost Measure(const Experiment& e) {
  const auto from = std::chrono::steady_clock::now();
  Cost cost;
  CheckedRun run = RunChecked(e);
  cost.seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - from).count();
  cost.outcomes = std::move(run.results);
  cost.clean = run.violations.empty();
  cost.a_request =
      1e6 * cost.seconds / static_cast<double>(std::max<std::uint64_t>(1, cost.outcomes.requests));
  for (const Violation& breach : run.violations)
    std::printf("     broken %s: %s\n", breach.rule.c_str(), breach.description.c_str());
  return cost;
}

// ---- 3. size ----

void Size() {
  // Boxes of 4 slots at 20 ms a unit: 60 of them take 7,200 requests a second at 0.6 of what they can do.
  const double seconds = g_short ? 30 : 600;
  const Cost middle = Measure(Fleet(100, 60, seconds, 20));
  Claim("3 100 initiators by 60 boxes", middle.seconds <= 60 * seconds / 600 && middle.clean,
        Text("%.0f simulated seconds in %.1f s, %.0f requests, %.1f us a request", seconds, middle.seconds,
             static_cast<double>(middle.outcomes.requests), middle.a_request));
  const double minute = g_short ? 3 : 60;
  const Cost large = Measure(Fleet(1000, 500, minute, 20));
  Claim("3 1,000 initiators by 500 boxes",
        large.seconds <= 300 * minute / 60 && Gigabytes() <= 4 && large.clean,
        Text("%.0f simulated seconds in %.1f s, %.0f requests, %.2f GB", minute, large.seconds,
             static_cast<double>(large.outcomes.requests), Gigabytes()));
  const Cost small = Measure(Fleet(100, 50, g_short ? 10 : 60, 20));
  Claim("3 cost a request, ten times the size", true,
        Text("%.1f us at 100 by 50, %.1f us at 1,000 by 500: %.2f times", small.a_request, large.a_request,
             large.a_request / small.a_request));
}

// ---- 5. rules in drawn worlds ----

void Worlds() {
  Experiment base = ParseExperiment(
      "length_s = 8.0\n[fleet]\ninitiators = 8\n[boxes]\ncount = 10\nunit_ms = 16.0\n", "bench");
  const std::uint64_t wanted = g_short ? 200 : 5000;
  std::uint64_t worlds = 0, failing = 0, requests = 0;
  Explore(base, g_seed * 100'000, g_seed * 100'000 + wanted - 1, 4, false, [&](const CheckedRun& run) {
    ++worlds;
    requests += run.results.requests;
    if (run.violations.empty()) return;
    ++failing;
    if (failing <= 5)
      std::printf("     seed %llu broke %s: %s\n", (unsigned long long)run.seed, run.violations[0].rule.c_str(),
                  run.violations[0].description.c_str());
  });
  Claim("5 drawn worlds keep the rules", failing == 0,
        Text("%.0f of %.0f broke one, %.0f requests", static_cast<double>(failing),
             static_cast<double>(worlds), static_cast<double>(requests)));
}

// ---- 6. signs that are known ----

// Changes whose effect is known beforehand, from the journal or from arithmetic, must have that sign here.
void Signs() {
  const auto service = [](const std::function<void(Experiment*)>& change) {
    double sum = 0;
    const int seeds = g_short ? 2 : 6;
    for (int i = 0; i < seeds; ++i) {
      Experiment e = Fleet(5, 20, g_short ? 10 : 30, 20);
      e.load_factor = 1.2;
      e.seed = g_seed * 10 + static_cast<std::uint64_t>(i);
      e.faults = {{FaultKind::kSlow, 2'000'000, 6'000'000, 0, 4, 0.2, 0},
                  {FaultKind::kFreeze, 4'000'000, 1'500'000, 6, 2, 0, 0}};
      change(&e);
      sum += RunChecked(e).results.service();
    }
    return sum / seeds;
  };
  const double module = service([](Experiment*) {});
  const auto compare = [&](const std::string& name, bool better,
                           const std::function<void(Experiment*)>& change) {
    const double other = service(change);
    Claim("6 " + name, better ? other > module : other < module,
          Text("%.4f, the module as it stands %.4f", other, module));
  };
  compare("everything at once is worse", false, [](Experiment* e) { e->policy = "at-once"; });
  compare("even buckets without the loop are worse", false, [](Experiment* e) { e->policy = "buckets"; });
  const auto broken = [](Experiment* e, int tries) {
    e->load_factor = 0.6;
    e->loss_probability = 0.05;
    e->max_attempts = tries;
  };
  const double three = service([&](Experiment* e) { broken(e, 3); });
  const double one = service([&](Experiment* e) { broken(e, 1); });
  Claim("6 where connections break, one attempt is worse than three", one < three,
        Text("%.4f, with three %.4f", one, three));
  compare("less load is better", true, [](Experiment* e) { e->load_factor = 0.8; });
}

// ---- 7. service against the fleet's size ----

void Sizes() {
  const auto curve = [](const std::string& name, const std::function<void(Experiment*)>& change) {
    std::string figures;
    double first = 0, last = 0;
    for (const int initiators : {5, 30, 100, 300, 1000}) {
      if (g_short && initiators > 100) break;
      Experiment e = Fleet(initiators, 60, g_short ? 10 : 20, 20);
      e.load_factor = 0.85;
      e.tenants.resize(2);
      e.tenants[0].volumes = 200;
      e.tenants[1].name = "bulk";
      e.tenants[1].volumes = 40;
      e.tenants[1].weight = 0.3;
      change(&e);
      const SimulationResults o = RunChecked(e).results;
      figures += (figures.empty() ? "" : ", ") + std::to_string(initiators) + ": " +
                 Text("%.4f (worst 10 s %.4f)", o.service(), o.worst_service(10));
      if (first == 0) first = o.service();
      last = o.service();
    }
    Claim("7 service against the fleet's size, " + name, last >= first - 0.1,
          figures + Text("; the last is %+.4f", last - first));
  };
  curve("calm", [](Experiment*) {});
  curve("a release of 36 of 60 boxes", [](Experiment* e) {
    e->faults = {{FaultKind::kReplace, 2'000'000, 2'000'000, 0, 36, 0, 100'000}};
  });
  curve("all boxes start anew within 3 s", [](Experiment* e) {
    e->faults = {{FaultKind::kRestart, 2'000'000, 1'000'000, 0, 60, 0, 50'000}};
  });
  curve("a plan asks six times as much", [](Experiment* e) {
    e->faults = {{FaultKind::kSurge, 2'000'000, 6'000'000, 1, 1, 6, 0}};
  });
}

}  // namespace

int main(int argc, char** argv) {
  if (const char* seed = std::getenv("SEED")) g_seed = std::strtoull(seed, nullptr, 10);
  const char* brief = std::getenv("SHORT");
  g_short = brief && *brief;
  const std::set<std::string> parts(argv + 1, argv + argc);
  const auto wanted = [&](const char* part) { return parts.empty() || parts.contains(part); };
  if (wanted("size")) Size();
  if (wanted("worlds")) Worlds();
  if (wanted("signs")) Signs();
  if (wanted("sizes")) Sizes();
  std::printf(
      "%s\n",
      json{{"bench", "lab"}, {"seed", g_seed}, {"short", g_short}, {"claims", g_figures}}.dump().c_str());
  return g_missed ? 1 : 0;
}
