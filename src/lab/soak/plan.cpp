#include "lab/soak/plan.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <iterator>
#include <sstream>

#include "lab/random.h"

namespace walnutspur::lab::soak {
namespace {

constexpr Time kMillisecond = 1'000;
constexpr Time kSecond = 1'000'000;
constexpr int kMaxProcesses = 6;
constexpr int kMaxEvents = 7;
constexpr Time kMaxPause = 150 * kMillisecond;

constexpr std::array kDiscoveryFaults = {DiscoveryFault::kTimesOut,      DiscoveryFault::kClosesAtOnce,
                                         DiscoveryFault::kRejectsAtOnce, DiscoveryFault::kRefusesConnections,
                                         DiscoveryFault::kSilent,        DiscoveryFault::kTruncatesResponses};
constexpr std::array kTargetFaults = {TargetFault::kHangs, TargetFault::kErrors, TargetFault::kOverloaded,
                                      TargetFault::kResetsRequests, TargetFault::kDown};
constexpr std::array kKinds = {FaultEventKind::kDiscoveryFault, FaultEventKind::kEndWatches,
                               FaultEventKind::kDrain,          FaultEventKind::kReturn,
                               FaultEventKind::kTargetFault,    FaultEventKind::kCloseIdle,
                               FaultEventKind::kPause,          FaultEventKind::kReload,
                               FaultEventKind::kTerminate,      FaultEventKind::kKill};
constexpr std::array kSystemFaults = {"",
                                      "clock@3000=+3600000",
                                      "clock@3000=-3600000",
                                      "clock@3000=+10000;clock@6000=-10000",
                                      "accept4@3000-3500=ENFILE",
                                      "accept4@1000=ECONNABORTED/0.2",
                                      "connect@1000=EADDRNOTAVAIL/0.1",
                                      "connect@1000=ENETUNREACH/0.1;socket@1000=ENOBUFS/0.1",
                                      "readv@500=short/0.2;writev@500=short/0.2",
                                      "readv@500=EINTR/0.1;epoll_wait@500=EINTR/0.1",
                                      "writev@500=EHOSTUNREACH/0.01;readv@500=ETIMEDOUT/0.01",
                                      "writev@500=delay150/0.005"};

// The name of each kind, in the order of FaultEventKind.
constexpr std::array<std::string_view, kFaultEventKinds> kKindNames = {"discovery_fault",
                                                                       "end_watches",
                                                                       "drain",
                                                                       "return",
                                                                       "target_fault",
                                                                       "close_idle",
                                                                       "pause",
                                                                       "reload",
                                                                       "terminate",
                                                                       "kill",
                                                                       "crowd",
                                                                       "reload_series",
                                                                       "reload_terminate",
                                                                       "terminate_reload",
                                                                       "terminate_twice",
                                                                       "terminate_paused",
                                                                       "terminate_restart",
                                                                       "terminate_all"};

constexpr std::array kSeriesKinds = {FaultEventKind::kReloadSeries,    FaultEventKind::kReloadTerminate,
                                     FaultEventKind::kTerminateReload, FaultEventKind::kTerminateTwice,
                                     FaultEventKind::kTerminatePaused, FaultEventKind::kTerminateRestart,
                                     FaultEventKind::kTerminateAll};
constexpr int kMaxSeries = 3;  // of signals, in one plan
constexpr int kMinCrowd = 50;  // connections
constexpr int kMaxCrowd = 250;
constexpr Time kMaxCrowdDuration = 3 * kSecond;
constexpr Time kMaxSignalInterval = kSecond;  // between the first and the second SIGTERM

template <typename Array>
auto Choose(Random* random, const Array& from) {
  return from[static_cast<std::size_t>(random->Below(from.size()))];
}

FaultEvent DrawEvent(const SoakPlan& plan, Random* random) {
  FaultEvent event;
  event.at =
      static_cast<Time>(random->Between(0.5, 0.8 * static_cast<double>(plan.duration) / kSecond) * kSecond);
  event.kind = Choose(random, kKinds);
  event.process = static_cast<int>(random->Below(static_cast<std::uint64_t>(plan.processes)));
  event.target = static_cast<int>(random->Below(static_cast<std::uint64_t>(plan.targets)));
  event.discovery_fault = Choose(random, kDiscoveryFaults);
  event.target_fault = Choose(random, kTargetFaults);
  const double max_seconds = event.kind == FaultEventKind::kDiscoveryFault ? 9 : 3;
  event.duration = static_cast<Time>(random->Between(0.3, max_seconds) * kSecond);
  if (event.kind == FaultEventKind::kPause) {
    event.duration = static_cast<Time>(random->Uniform() * kMaxPause);
  }
  return event;
}

// Returns whether a crowd is of most interest at the time of this event.
bool AttractsCrowd(const FaultEvent& event) {
  return event.kind == FaultEventKind::kDiscoveryFault || event.kind == FaultEventKind::kTerminate ||
         event.kind == FaultEventKind::kKill;
}

FaultEvent DrawSeries(const SoakPlan& plan, Random* random) {
  FaultEvent event = DrawEvent(plan, random);
  event.kind = Choose(random, kSeriesKinds);
  const Time max = event.kind == FaultEventKind::kTerminatePaused ? kMaxPause : kMaxSignalInterval;
  event.duration = static_cast<Time>(random->Uniform() * static_cast<double>(max));
  return event;
}

// Draws a crowd within a second after a failure of discovery or a restart of a process.
FaultEvent DrawCrowd(const SoakPlan& plan, Random* random) {
  std::vector<FaultEvent> anchors;
  std::copy_if(plan.events.begin(), plan.events.end(), std::back_inserter(anchors), AttractsCrowd);
  const FaultEvent anchor = anchors[static_cast<std::size_t>(random->Below(anchors.size()))];
  FaultEvent crowd = DrawEvent(plan, random);
  crowd.kind = FaultEventKind::kCrowd;
  crowd.at = anchor.at + static_cast<Time>(random->Uniform() * kSecond);
  if (anchor.kind != FaultEventKind::kDiscoveryFault) {
    crowd.process = anchor.process;
  }
  crowd.duration = static_cast<Time>(random->Uniform() * kMaxCrowdDuration);
  crowd.connections = kMinCrowd + static_cast<int>(random->Below(kMaxCrowd - kMinCrowd));
  return crowd;
}

void SortByTime(std::vector<FaultEvent>* events) {
  std::stable_sort(events->begin(), events->end(),
                   [](const FaultEvent& one, const FaultEvent& other) { return one.at < other.at; });
}

}  // namespace

std::string_view NameOf(FaultEventKind kind) { return kKindNames[static_cast<std::size_t>(kind)]; }

SoakPlan DrawExtendedPlan(std::uint64_t seed) {
  SoakPlan plan = DrawPlan(seed);
  plan.is_extended = true;
  Random random(seed, "extended soak");
  const std::uint64_t series = 1 + random.Below(kMaxSeries);
  std::vector<FaultEvent> added;
  for (std::uint64_t number = 0; number < series; ++number) {
    added.push_back(DrawSeries(plan, &random));
  }
  if (random.Chance(0.5)) {
    added.push_back(DrawCrowd(plan, &random));
  }
  plan.events.insert(plan.events.end(), added.begin(), added.end());
  SortByTime(&plan.events);
  return plan;
}

SoakPlan DrawPlan(std::uint64_t seed) {
  Random random(seed, "soak");
  SoakPlan plan;
  plan.seed = seed;
  plan.processes = 1 + static_cast<int>(random.Below(kMaxProcesses));
  plan.targets = 3 + static_cast<int>(random.Below(6));
  plan.configured_instances = std::array{plan.processes, 20, 300}[static_cast<std::size_t>(random.Below(3))];
  plan.drain_grace =
      std::array<Time, 3>{500, 1'000, 300}[static_cast<std::size_t>(random.Below(3))] * kMillisecond;
  plan.load.deadline = static_cast<Time>(random.Between(0.3, 1.5) * kSecond);
  plan.load.write_fraction = random.Uniform();
  plan.load.disconnect_fraction = random.Chance(0.5) ? 0.2 * random.Uniform() : 0;
  plan.load.reconnect_fraction = random.Chance(0.5) ? 0.2 * random.Uniform() : 0;
  plan.load.think_time = static_cast<Time>(random.Between(20, 200)) * kMillisecond;
  plan.load.connections = 2 + static_cast<int>(random.Below(7));
  plan.load.shards = plan.targets;
  plan.system_faults = Choose(&random, kSystemFaults);
  // Every plan has a failure of discovery and a drain of a target.
  FaultEvent failure = DrawEvent(plan, &random);
  failure.kind = FaultEventKind::kDiscoveryFault;
  FaultEvent drain = DrawEvent(plan, &random);
  drain.kind = FaultEventKind::kDrain;
  plan.events = {failure, drain};
  const std::uint64_t more = random.Below(kMaxEvents);
  for (std::uint64_t number = 0; number < more; ++number) {
    plan.events.push_back(DrawEvent(plan, &random));
  }
  std::sort(plan.events.begin(), plan.events.end(),
            [](const FaultEvent& one, const FaultEvent& other) { return one.at < other.at; });
  return plan;
}

std::string Describe(const SoakPlan& plan) {
  std::ostringstream text;
  text << "seed " << plan.seed << ": " << plan.processes << " processes, configured for "
       << plan.configured_instances << ", " << plan.targets << " targets, grace "
       << plan.drain_grace / kMillisecond << " ms, deadline " << plan.load.deadline / kMillisecond << " ms, "
       << plan.load.connections << " connections each, writes " << plan.load.write_fraction
       << ", system faults \"" << plan.system_faults << "\"\n";
  for (const FaultEvent& event : plan.events) {
    text << "  " << event.at / kMillisecond << " ms " << NameOf(event.kind) << " process " << event.process
         << " target " << event.target << " discovery fault " << static_cast<int>(event.discovery_fault)
         << " target fault " << static_cast<int>(event.target_fault) << " for "
         << event.duration / kMillisecond << " ms";
    if (event.connections > 0) {
      text << " of " << event.connections << " connections";
    }
    text << "\n";
  }
  return text.str();
}

}  // namespace walnutspur::lab::soak
