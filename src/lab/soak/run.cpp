#include "lab/soak/run.h"

#include <algorithm>
#include <fstream>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "core/clock.h"
#include "lab/soak/process_control.h"
#include "lab/soak/test_environment.h"

namespace walnutspur::lab::soak {
namespace {

constexpr Time kSecond = 1'000'000;
constexpr Time kRemovalDelay = 1'000'000;  // us from a drain to the removal from the list
constexpr Time kMaxWriteDelay = 150'000;   // us, of the faults that delay a write
constexpr Time kResponseWait = 2'500'000;  // us after the last request was sent

// Returns whether faults of the plan delay a process between reading its clock and a write.
bool DelaysWrites(const SoakPlan& plan) {
  const auto is_pause = [](const FaultEvent& event) {
    return event.kind == FaultEventKind::kPause || event.kind == FaultEventKind::kTerminatePaused;
  };
  return plan.system_faults.find("delay") != std::string::npos ||
         std::any_of(plan.events.begin(), plan.events.end(), is_pause);
}

std::string ReadLoadAverage() {
  std::ifstream file("/proc/loadavg");
  std::string line;
  std::getline(file, line);
  return line;
}

// Runs one plan.
class PlanRunner {
 public:
  PlanRunner(const SoakPlan& plan, const SoakPrograms& programs)
      : plan_(plan), environment_(MakeOptions(plan, programs)), processes_(plan, &environment_) {
    for (const FaultEvent& event : plan.events) {
      Schedule(event);
    }
  }

  SoakResult Run() {
    environment_.StartAll();
    environment_.RunFor(kSecond / 2);
    environment_.StartAllClients();
    const Time began_at = core::Now();
    for (const auto& [at, action] : actions_) {
      environment_.RunFor(std::max<Time>(0, began_at + at - core::Now()));
      action();
    }
    environment_.RunFor(std::max<Time>(0, began_at + plan_.duration - core::Now()));
    environment_.StopAllClients();
    environment_.RunFor(kResponseWait);
    RecordUnexpectedExits();
    return Result();
  }

 private:
  static TestEnvironmentOptions MakeOptions(const SoakPlan& plan, const SoakPrograms& programs) {
    TestEnvironmentOptions options;
    options.program = programs.program;
    options.processes = plan.processes;
    options.targets = plan.targets;
    options.configured_instances = plan.configured_instances;
    options.drain_grace = plan.drain_grace;
    options.load = plan.load;
    options.seed = plan.seed;
    if (!programs.fault_shim.empty() && !plan.system_faults.empty()) {
      options.preload = programs.fault_shim;
      options.environment["WALNUTSPUR_FAULTS"] = plan.system_faults;
      options.environment["WALNUTSPUR_FAULTS_SEED"] = std::to_string(plan.seed);
    }
    return options;
  }

  void At(Time at, std::function<void()> action) { actions_.emplace(at, std::move(action)); }

  void Schedule(const FaultEvent& event) {
    const int target = event.target;
    switch (event.kind) {
      case FaultEventKind::kDiscoveryFault:
        At(event.at, [this, event] { environment_.discovery().SetFault(event.discovery_fault); });
        At(event.at + event.duration, [this] { environment_.discovery().SetFault(DiscoveryFault::kNone); });
        break;
      case FaultEventKind::kEndWatches:
        At(event.at, [this] { environment_.discovery().EndWatches(); });
        break;
      case FaultEventKind::kDrain:
        At(event.at, [this, target] { environment_.SetEndpointState(target, EndpointState::kDraining); });
        At(event.at + kRemovalDelay,
           [this, target] { environment_.SetEndpointState(target, EndpointState::kTerminated); });
        break;
      case FaultEventKind::kReturn:
        At(event.at, [this, target] { environment_.SetEndpointState(target, EndpointState::kActive); });
        break;
      case FaultEventKind::kTargetFault:
        At(event.at, [this, event] { environment_.target(event.target).SetFault(event.target_fault); });
        At(event.at + event.duration,
           [this, target] { environment_.target(target).SetFault(TargetFault::kNone); });
        break;
      case FaultEventKind::kCloseIdle:
        At(event.at, [this, target] { environment_.target(target).CloseIdleConnections(); });
        break;
      case FaultEventKind::kCrowd:
        At(event.at,
           [this, event] { environment_.StartCrowd(event.process, event.connections, event.duration); });
        break;
      default:
        At(event.at, [this, event] { processes_.Apply(event); });
        break;
    }
  }

  void RecordUnexpectedExits() {
    for (int process = 0; process < plan_.processes; ++process) {
      if (!processes_.IsBusy(process) && !environment_.IsRunning(process)) {
        environment_.record().unexpected_process_ends.push_back(
            "process " + std::to_string(process) + " exited unexpectedly: " + environment_.Log(process));
      }
    }
  }

  SoakResult Result() {
    const Record& record = environment_.record();
    SoakResult result;
    CheckOptions options;
    options.drain_grace = plan_.drain_grace;
    options.write_delay = DelaysWrites(plan_) ? kMaxWriteDelay : 0;
    result.violations = FindViolations(record, options);
    result.load_before = load_before_;
    result.load_after = ReadLoadAverage();
    if (!result.violations.empty()) {
      result.record = record;
    }
    for (int process = 0; process < plan_.processes && !result.violations.empty(); ++process) {
      result.logs[process] = environment_.Log(process);
    }
    result.requests = record.requests.size();
    result.attempts = record.arrivals.size();
    result.served_fraction = ServedFraction(record, 0, core::Now());
    result.longest_stall = environment_.longest_stall();
    return result;
  }

  const SoakPlan& plan_;
  TestEnvironment environment_;
  ProcessControl processes_;
  std::string load_before_ = ReadLoadAverage();
  std::multimap<Time, std::function<void()>> actions_;  // by time after the clients' start
};

bool ViolatesInvariant(const SoakPlan& plan, const SoakPrograms& programs) {
  return !RunPlan(plan, programs).violations.empty();
}

}  // namespace

SoakResult RunPlan(const SoakPlan& plan, const SoakPrograms& programs) {
  return PlanRunner(plan, programs).Run();
}

SoakPlan Shrink(const SoakPlan& plan, const SoakPrograms& programs, int max_runs) {
  SoakPlan smallest = plan;
  int runs = 0;
  const auto try_plan = [&](const SoakPlan& candidate) {
    if (runs < max_runs) {
      ++runs;
      smallest = ViolatesInvariant(candidate, programs) ? candidate : smallest;
    }
  };
  for (std::size_t number = plan.events.size(); number-- > 0;) {
    SoakPlan candidate = smallest;
    candidate.events.erase(candidate.events.begin() + static_cast<std::ptrdiff_t>(number));
    try_plan(candidate);
  }
  if (!smallest.system_faults.empty()) {
    SoakPlan candidate = smallest;
    candidate.system_faults.clear();
    try_plan(candidate);
  }
  return smallest;
}

}  // namespace walnutspur::lab::soak
