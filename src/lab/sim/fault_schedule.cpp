#include "lab/sim/fault_schedule.h"

#include <cstddef>

namespace walnutspur::lab::sim {

FaultSchedule::FaultSchedule(SimulationContext* context, NetworkModel* network, DiscoveryModel* discovery,
                             LoadGenerator* load, StorageServers* servers)
    : context_(*context), network_(*network), discovery_(*discovery), load_(*load), servers_(*servers) {}

void FaultSchedule::Start() {
  const Experiment& experiment = context_.experiment();
  for (std::size_t index = 0; index < experiment.faults.size(); ++index) {
    const FaultPlan& fault = experiment.faults[index];
    const int targets = fault.kind == FaultKind::kDiscoveryOutage ? 1 : fault.count;
    for (int target = 0; target < targets; ++target) {
      const Time begin = kLoadStart + fault.start + target * fault.stagger;
      context_.Schedule(begin, FaultStep{index, target, true});
      context_.Schedule(begin + fault.duration, FaultStep{index, target, false});
    }
  }
}

void FaultSchedule::Handle(const FaultStep& step) {
  const FaultPlan& fault = context_.experiment().faults[step.fault];
  const int target = fault.first + step.target;
  if (step.begins) {
    Begin(fault, target);
  } else {
    End(fault, target);
  }
}

void FaultSchedule::Begin(const FaultPlan& fault, int target) {
  switch (fault.kind) {
    case FaultKind::kSlow:
      return servers_.SetSlow(target, fault.factor);
    case FaultKind::kFreeze:
      return servers_.Freeze(target, fault.duration);
    case FaultKind::kErrors:
      return servers_.SetErrors(target, true, fault.factor);
    case FaultKind::kNoisyNeighbour:
      return servers_.SetNeighbourShare(target, fault.factor);
    case FaultKind::kPartition:
      return network_.SetPartitioned(target, true);
    case FaultKind::kRestart:
      return servers_.Stop(target);
    case FaultKind::kReplace:
      return servers_.Drain(target);
    case FaultKind::kNoReplies:
      return servers_.SetNoReplies(target, true);
    case FaultKind::kDiscoveryOutage:
      return discovery_.SetOutage(true);
    case FaultKind::kSurge:
      return load_.SetSurge(static_cast<std::size_t>(target), fault.factor);
  }
}

void FaultSchedule::End(const FaultPlan& fault, int target) {
  switch (fault.kind) {
    case FaultKind::kSlow:
      return servers_.SetSlow(target, 1);
    case FaultKind::kFreeze:
      return;  // StorageServers::Freeze has already scheduled the end
    case FaultKind::kErrors:
      return servers_.SetErrors(target, false, 0);
    case FaultKind::kNoisyNeighbour:
      return servers_.SetNeighbourShare(target, 0);
    case FaultKind::kPartition:
      return network_.SetPartitioned(target, false);
    case FaultKind::kRestart:
      return servers_.ScheduleRestart(target);
    case FaultKind::kReplace:
      return servers_.Replace(target);
    case FaultKind::kNoReplies:
      return servers_.SetNoReplies(target, false);
    case FaultKind::kDiscoveryOutage:
      return discovery_.SetOutage(false);
    case FaultKind::kSurge:
      return load_.SetSurge(static_cast<std::size_t>(target), 1);
  }
}

}  // namespace walnutspur::lab::sim
