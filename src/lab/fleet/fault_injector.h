// Injects faults into a cluster of processes, and knows which members are down because of them. Owned by a
// bench; one thread.
#ifndef WALNUTSPUR_LAB_FLEET_FAULT_INJECTOR_H_
#define WALNUTSPUR_LAB_FLEET_FAULT_INJECTOR_H_

#include <cstdint>
#include <set>

#include "lab/fleet/process_cluster.h"
#include "lab/random.h"

namespace walnutspur::lab {

// Scripts draw the values, so their order is part of what a seed means.
enum class FaultKind : std::uint8_t {
  kCrash,
  kRestart,
  kStop,
  kOneWayPartition,
  kPairPartition,  // two members that do not reach each other, but all others
  kBuildingPartition,
  kHeavyLoss,
  kReplay,
  kShutdown,
  kRestartAllButOne,
};
constexpr std::uint64_t kFaultKinds = 10;

class FaultInjector {
 public:
  // For a cluster of `members` members, which has to outlive the injector.
  FaultInjector(ProcessCluster& cluster, int members) : cluster_(cluster), members_(members) {}

  // `other`: the second member of a pair. False: `member` is down already, and nothing was injected.
  bool Inject(FaultKind kind, int member, int other);
  // Ends all faults except crashes; half of the crashed members, drawn at random, are started again.
  void EndFaults(Random& random);

 private:
  bool IsDown(int member) const { return dead_.contains(member) || stopped_.contains(member); }
  void Restart(int member);
  void RestartAllBut(int excluded);
  void InjectNetworkFault(FaultKind kind, int member, int other);

  ProcessCluster& cluster_;
  int members_;
  std::set<int> dead_;
  std::set<int> stopped_;
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_FLEET_FAULT_INJECTOR_H_
