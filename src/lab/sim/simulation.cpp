#include "lab/sim/simulation.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>
#include <variant>

#include "lab/sim/discovery_model.h"
#include "lab/sim/fault_schedule.h"
#include "lab/sim/initiator_fleet.h"
#include "lab/sim/load_generator.h"
#include "lab/sim/network_model.h"
#include "lab/sim/request_table.h"
#include "lab/sim/simulation_context.h"
#include "lab/sim/storage_servers.h"

namespace walnutspur::lab::sim {
namespace {

constexpr Time kDrainTime = 1'000'000;  // time after the last deadline for work still at the servers, us

}  // namespace

// Owns the models of a run and runs the event loop, which passes each event in order to the model that
// handles it.
class Simulation::Impl {
 public:
  Impl(const Experiment& experiment, EventLog* log, TestHooks hooks)
      : context_(experiment, log, std::move(hooks)),
        network_(context_.experiment()),
        discovery_(&context_),
        load_(&context_, &requests_),
        servers_(&context_, &network_, &discovery_, &requests_),
        initiators_(&context_, &network_, &servers_, &load_, &requests_),
        faults_(&context_, &network_, &discovery_, &load_, &servers_) {}

  SimulationResults Run(const std::function<void(double)>& progress);

 private:
  void RecordLimits();
  Time EndOfRun() const;

  void Handle(const RequestDue&) { initiators_.Receive(load_.Next()); }
  void Handle(const DeadlinePassed& event) { initiators_.Handle(event); }
  void Handle(const AttemptEnded& event) { initiators_.Handle(event); }
  void Handle(const EngineTimerExpired& event) { initiators_.Handle(event); }
  void Handle(const HealthCheckEnded& event) { initiators_.Handle(event); }
  void Handle(const EndpointNotified& event) { initiators_.Handle(event); }
  void Handle(const AttemptDelivered& event) { servers_.Handle(event); }
  void Handle(const CancellationDelivered& event) { servers_.Handle(event); }
  void Handle(const WorkCompleted& event) { servers_.Handle(event); }
  void Handle(const ServerPaused& event) { servers_.Handle(event); }
  void Handle(const ServerResumed& event) { servers_.Handle(event); }
  void Handle(const ServerRestarted& event) { servers_.Handle(event); }
  void Handle(const FaultStep& event) { faults_.Handle(event); }

  SimulationContext context_;
  RequestTable requests_;
  NetworkModel network_;
  DiscoveryModel discovery_;
  LoadGenerator load_;
  StorageServers servers_;
  InitiatorFleet initiators_;
  FaultSchedule faults_;
};

SimulationResults Simulation::Impl::Run(const std::function<void(double)>& progress) {
  RecordLimits();
  servers_.Start();
  initiators_.Start();
  faults_.Start();
  load_.Start();
  const Time end = EndOfRun();
  int reported_percent = 0;
  while (const std::optional<EventBody> event = context_.TakeNext(end)) {
    ++context_.results().events;
    std::visit([this](const auto& typed) { Handle(typed); }, *event);
    const int percent = static_cast<int>(100 * context_.now() / end);
    if (progress && percent > std::exchange(reported_percent, percent)) {
      progress(percent / 100.0);
    }
  }
  context_.set_now(end);
  servers_.RecordUnfinished();
  context_.Record({.type = LogEntryType::kEnd});
  return std::move(context_.results());
}

// Records the limits and request classes of the experiment that the invariant checker needs.
void Simulation::Impl::RecordLimits() {
  const Experiment& experiment = context_.experiment();
  context_.Record({.type = LogEntryType::kLimits,
                   .value = experiment.max_attempts,
                   .detail = experiment.rules.drain_grace});
  for (std::size_t index = 0; index < experiment.classes.size(); ++index) {
    const ClassPlan& class_plan = experiment.classes[index];
    context_.Record({.type = LogEntryType::kClass,
                     .request = static_cast<std::int64_t>(index),
                     .value = static_cast<std::int64_t>(class_plan.writes),
                     .detail = class_plan.request_class.deadline});
  }
}

Time Simulation::Impl::EndOfRun() const {
  Time longest = 0;
  for (const ClassPlan& class_plan : context_.experiment().classes) {
    longest = std::max(longest, class_plan.request_class.deadline);
  }
  return context_.load_end() + longest + kDrainTime;
}

Simulation::Simulation(const Experiment& experiment, EventLog* log, TestHooks hooks)
    : impl_(std::make_unique<Impl>(experiment, log, std::move(hooks))) {}
Simulation::~Simulation() = default;
SimulationResults Simulation::Run(const std::function<void(double)>& progress) {
  return impl_->Run(progress);
}

}  // namespace walnutspur::lab::sim
