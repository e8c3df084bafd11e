#include "lab/fleet/fault_injector.h"

namespace walnutspur::lab {

bool FaultInjector::Inject(FaultKind kind, int member, int other) {
  if (IsDown(member)) {
    return false;
  }
  switch (kind) {
    case FaultKind::kCrash:
      cluster_.Kill(member);
      dead_.insert(member);
      break;
    case FaultKind::kRestart:
      Restart(member);
      break;
    case FaultKind::kStop:
      cluster_.Stop(member);
      stopped_.insert(member);
      break;
    case FaultKind::kShutdown:
      cluster_.Terminate(member);
      dead_.insert(member);
      break;
    case FaultKind::kRestartAllButOne:
      RestartAllBut(member);
      break;
    default:
      InjectNetworkFault(kind, member, other);
      break;
  }
  return true;
}

void FaultInjector::EndFaults(Random& random) {
  cluster_.proxy().SetPartition(nullptr);
  cluster_.proxy().SetFaults({});
  for (const int member : stopped_) {
    cluster_.Resume(member);
  }
  for (const int member : dead_) {
    if (random.Chance(0.5)) {
      cluster_.Start(member);
    }
  }
}

void FaultInjector::Restart(int member) {
  cluster_.Kill(member);
  cluster_.Start(member);
}

void FaultInjector::RestartAllBut(int excluded) {
  for (int i = 0; i < members_; ++i) {
    if (i != excluded && !IsDown(i)) {
      Restart(i);
    }
  }
}

void FaultInjector::InjectNetworkFault(FaultKind kind, int member, int other) {
  FaultProxy& proxy = cluster_.proxy();
  switch (kind) {
    case FaultKind::kOneWayPartition:
      proxy.SetPartition([member](int sender, int) { return sender != member; });
      break;
    case FaultKind::kPairPartition:
      proxy.SetPartition([member, other](int sender, int receiver) {
        return !((sender == member && receiver == other) || (sender == other && receiver == member));
      });
      break;
    case FaultKind::kBuildingPartition:
      proxy.SetPartition([](int sender, int receiver) { return sender % 2 == receiver % 2; });
      break;
    case FaultKind::kHeavyLoss:
      proxy.SetFaults({.loss = 0.3, .duplication = 0.1, .corruption = 0.05, .max_delay = 50'000});
      break;
    case FaultKind::kReplay:
      proxy.SetFaults(
          {.loss = 0.05, .duplication = 0.05, .corruption = 0.02, .replay = 0.2, .max_delay = 20'000});
      break;
    default:
      break;
  }
}

}  // namespace walnutspur::lab
