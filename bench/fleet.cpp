// The fleet under faults: claims with figures, one JSON object last. Parts: view, size, loss.
//
// view: fleets of processes, a carrier between them, seeded scripts of faults. size: up to 1,000 members in
// virtual time. loss: member-hours in virtual time under lost datagrams, with and without Lifeguard's part.
// SEED=N draws other runs, SHORT=1 ends within a minute. Exits 1 where a claim is missed.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "core/scheduler_thread.h"
#include "lab/fleet/fleet_lab.h"
#include "lab/fleet/town.h"

namespace {

using namespace walnutspur;
using namespace walnutspur::lab;

constexpr Time kSecond = 1'000'000;
constexpr Time kAgreed = 3 * kSecond;  // the claim: after the last fault all agree
constexpr Time kPatience = 30 * kSecond;

const bool kShort = std::getenv("SHORT") != nullptr;
const std::uint64_t kSeed = std::getenv("SEED") ? std::strtoull(std::getenv("SEED"), nullptr, 10) : 1;

nlohmann::json g_all = nlohmann::json::object();
bool g_missed = false;

void Claim(const std::string& name, bool met, const nlohmann::json& figures) {
  std::printf("%-8s %s %s\n", met ? "met" : "MISSED", name.c_str(), figures.dump().c_str());
  std::fflush(stdout);
  g_all[name] = figures;
  g_all[name]["met"] = met;
  g_missed = g_missed || !met;
}

double Seconds(Time time) { return static_cast<double>(time) / 1e6; }

double Quantile(std::vector<Time> times, double part) {
  if (times.empty()) return 0;
  std::sort(times.begin(), times.end());
  const auto at = static_cast<std::size_t>(part * static_cast<double>(times.size() - 1) + 0.5);
  return Seconds(times[at]);
}

void Sleep(Random& random, double least, double most) {
  std::this_thread::sleep_for(
      std::chrono::microseconds(static_cast<long>(1e6 * random.Between(least, most))));
}

struct Outcome {
  Time took = 0;
  std::string wrong, script;
  double cpu = 0, bytes = 0;  // of a member a second
};

// One script: some faults of those below, one after the other or at once, then none.
Outcome Script(const std::string& program, int members, std::uint64_t seed) {
  Random random(seed, "script", static_cast<std::uint64_t>(members));
  FleetLab fleet(program, members, seed);
  Outcome outcome;
  for (int i = 0; i < members; ++i) fleet.Start(i);
  if (fleet.UntilTrue(kPatience) < 0) {
    outcome.took = -1;
    outcome.wrong = "at the start: " + fleet.Wrong();
    return outcome;
  }
  const auto bytes = fleet.carrier().bytes();
  const double cpu = fleet.cpu();
  const Time from = core::Now();
  const auto n = static_cast<std::uint64_t>(members);
  std::set<int> dead, stopped;
  const int faults = 1 + static_cast<int>(random.Below(3));
  for (int i = 0; i < faults; ++i) {
    const int whom = static_cast<int>(random.Below(n)), other = static_cast<int>(random.Below(n));
    const auto kind = random.Below(10);
    outcome.script += " " + std::to_string(kind) + ":" + std::to_string(whom);
    if (dead.contains(whom) || stopped.contains(whom)) continue;
    switch (kind) {
      case 0:
        fleet.Kill(whom);
        dead.insert(whom);
        break;
      case 1:  // a restart under its name, at once
        fleet.Kill(whom);
        fleet.Start(whom);
        break;
      case 2:
        fleet.Stop(whom);
        stopped.insert(whom);
        break;
      case 3:  // one way
        fleet.carrier().Cut([whom](int a, int) { return a != whom; });
        break;
      case 4:  // a bridge: two that hear others, not each other
        fleet.carrier().Cut([whom, other](int a, int b) {
          return !((a == whom && b == other) || (a == other && b == whom));
        });
        break;
      case 5:  // by building
        fleet.carrier().Cut([](int a, int b) { return a % 2 == b % 2; });
        break;
      case 6:
        fleet.carrier().Set({0.3, 0.1, 0.05, 0, 0, 50'000});
        break;
      case 7:
        fleet.carrier().Set({0.05, 0.05, 0.02, 0.2, 0, 20'000});
        break;
      case 8:
        fleet.Term(whom);
        dead.insert(whom);
        break;
      case 9:  // all but one at once
        for (int j = 0; j < members; ++j) {
          if (j == whom || dead.contains(j) || stopped.contains(j)) continue;
          fleet.Kill(j);
          fleet.Start(j);
        }
        break;
    }
    Sleep(random, 0.2, 2.5);
  }
  fleet.carrier().Cut(nullptr);
  fleet.carrier().Set({});
  for (const int i : stopped) fleet.Wake(i);
  for (const int i : dead)
    if (random.Chance(0.5)) fleet.Start(i);
  outcome.took = fleet.UntilTrue(kPatience);
  outcome.wrong = outcome.took < 0 ? fleet.Wrong() : "";
  const double span = Seconds(core::Now() - from) * members;
  outcome.bytes = static_cast<double>(fleet.carrier().bytes() - bytes) / span;
  outcome.cpu = std::max(0.0, fleet.cpu() - cpu) / span;
  return outcome;
}

void View(const std::string& program) {
  for (const int members : {9, 30}) {
    const int scripts = kShort ? (members == 9 ? 6 : 1) : (members == 9 ? 160 : 40);
    std::vector<Time> took;
    std::vector<std::string> wrong;
    double most_bytes = 0, most_cpu = 0;
    std::mutex mutex;
    std::atomic<int> next = 0;
    std::vector<std::jthread> lanes;
    for (int lane = 0; lane < (members == 9 ? 3 : 1); ++lane) {
      lanes.emplace_back([&] {
        for (int i; (i = next++) < scripts;) {
          const std::uint64_t seed = kSeed * 1'000'000 + static_cast<std::uint64_t>(i);
          const Outcome one = Script(program, members, seed);
          const std::lock_guard lock(mutex);
          if (one.took < 0 || one.took > kAgreed)
            wrong.push_back("seed " + std::to_string(seed) + " (" + one.script + " ): " + one.wrong + " " +
                            std::to_string(Seconds(one.took)) + " s");
          if (one.took >= 0) took.push_back(one.took);
          most_bytes = std::max(most_bytes, one.bytes);
          most_cpu = std::max(most_cpu, one.cpu);
        }
      });
    }
    lanes.clear();
    Claim("agree_within_3_s_" + std::to_string(members) + "_processes", wrong.empty(),
          {{"scripts", scripts},
           {"agreed_p50_s", Quantile(took, 0.5)},
           {"agreed_max_s", Quantile(took, 1)},
           {"most_bytes_a_member_s", most_bytes},
           {"most_cpu_a_member", most_cpu},
           {"wrong", wrong}});
  }
}

void Size() {
  const std::vector<int> sizes = kShort ? std::vector<int>{30, 100} : std::vector<int>{30, 100, 300, 1000};
  for (const int members : sizes) {
    TownOptions options;
    options.members = members;
    options.seed = kSeed;
    Town town(options);
    for (int i = 0; i < members; ++i) town.Start(i);
    const Time start = town.RunUntilTrue(60 * kSecond);
    town.Run(10 * kSecond);
    std::vector<Time> known;
    const int crashes = members >= 1000 ? 5 : 20;
    Random random(kSeed, "crash");
    for (int i = 0; i < crashes; ++i) {
      const int whom = static_cast<int>(random.Below(static_cast<std::uint64_t>(members)));
      town.Crash(whom);
      known.push_back(town.RunUntilGone(whom, kPatience));
      if (known.back() < 0) known.back() = kPatience;
      town.Start(whom);
      if (town.RunUntilTrue(kPatience) < 0) known.back() = kPatience;
    }
    Claim("crash_known_within_5_s_" + std::to_string(members), Quantile(known, 0.99) <= 5,
          {{"crashes", crashes},
           {"p50_s", Quantile(known, 0.5)},
           {"p99_s", Quantile(known, 0.99)},
           {"start_settled_s", Seconds(start)}});
    TownOptions counted = options;
    counted.sizes = true;
    Town quiet(counted);
    for (int i = 0; i < members; ++i) quiet.Start(i);
    quiet.RunUntilTrue(60 * kSecond);
    quiet.Run(10 * kSecond);
    const std::uint64_t bytes = quiet.bytes();
    const auto began = std::chrono::steady_clock::now();
    const Time span = members >= 1000 ? 10 * kSecond : 30 * kSecond;
    quiet.Run(span);
    const double real = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    const double each = static_cast<double>(quiet.bytes() - bytes) / Seconds(span) / members;
    const double cpu = real / Seconds(span) / members;
    Claim("cost_a_member_" + std::to_string(members), each < 4000 && cpu < 0.003,
          {{"bytes_s", each}, {"core_of_decisions_and_codec", cpu}, {"largest_datagram", quiet.largest()}});
    town.Cut([members](int a, int b) { return (a < members / 2) == (b < members / 2); });
    town.Run(60 * kSecond);
    town.Cut(nullptr);
    const Time healed = town.RunUntilTrue(kPatience);
    Claim("cut_healed_within_5_s_" + std::to_string(members), healed >= 0 && healed <= 5 * kSecond,
          {{"healed_s", Seconds(healed)}, {"disorder", town.disorder()}});
  }
}

void Loss() {
  const double hours = kShort ? 3 : 1000;
  for (const double loss : {0.1, 0.3}) {
    for (const bool lifeguard : {true, false}) {
      if (loss < 0.2 && !lifeguard) continue;
      constexpr int kMembers = 30;
      const double wanted = loss < 0.2 ? hours : std::min(hours, 30.0);
      std::atomic<int> gone = 0;
      std::atomic<int> next = 0;
      const int runs = 12;
      std::vector<std::jthread> lanes;
      for (int lane = 0; lane < 4; ++lane) {
        lanes.emplace_back([&] {
          for (int i; (i = next++) < runs;) {
            TownOptions options;
            options.members = kMembers;
            options.seed = kSeed * 1000 + static_cast<std::uint64_t>(i);
            options.lifeguard = lifeguard;
            Town town(options);
            for (int m = 0; m < kMembers; ++m) town.Start(m);
            town.RunUntilTrue(kPatience);
            town.Loss(loss);
            town.Run(static_cast<Time>(wanted / runs / kMembers * 3600e6));
            gone += town.false_gone();
          }
        });
      }
      lanes.clear();
      const std::string name = std::string("false_gone_under_") + (loss < 0.2 ? "10" : "30") + "_percent" +
                               (lifeguard ? "" : "_without_lifeguard");
      Claim(name, loss > 0.2 || gone == 0, {{"member_hours", wanted}, {"false_gone", gone.load()}});
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) {
    std::fprintf(stderr, "usage: walnutspur_bench_fleet PROGRAM [view|size|loss]...\n");
    return 2;
  }
  const std::set<std::string> parts(argv + 2, argv + argc);
  const auto wanted = [&](const char* part) { return parts.empty() || parts.contains(part); };
  if (wanted("loss")) Loss();
  if (wanted("size")) Size();
  if (wanted("view")) View(argv[1]);
  g_all["seed"] = kSeed;
  g_all["short"] = kShort;
  std::printf("%s\n", g_all.dump().c_str());
  return g_missed ? 1 : 0;
}
