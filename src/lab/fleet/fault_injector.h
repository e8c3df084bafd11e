// Injects faults into a cluster of processes and records which members are down because of them. Owned by a
// bench and used on one thread.
#ifndef WALNUTSPUR_LAB_FLEET_FAULT_INJECTOR_H_
#define WALNUTSPUR_LAB_FLEET_FAULT_INJECTOR_H_

#include <cstdint>
#include <set>

#include "lab/fleet/process_cluster.h"
#include "lab/random.h"

namespace walnutspur::lab {

// Scripts choose kinds by random numeric value, so the order of the enumerators must not change: with another
// order the same seed would give another run.
enum class FaultKind : std::uint8_t {
  kCrash,
  kRestart,
  kStop,
  kOneWayPartition,
  kPairPartition,  // two members cannot reach each other but can reach all others
  kBuildingPartition,
  kHeavyLoss,
  kReplay,
  kShutdown,
  kRestartAllButOne,
};
constexpr std::uint64_t kFaultKinds = 10;

class FaultInjector {
 public:
  // `cluster` has `members` members and must outlive the injector.
  FaultInjector(ProcessCluster& cluster, int members) : cluster_(cluster), members_(members) {}

  // Injects a fault into `member`; `other` is the second member of a pair partition. Returns false without a
  // fault if `member` is already down.
  bool Inject(FaultKind kind, int member, int other);
  // Ends all faults. Starts each member that was crashed or shut down again with a probability of one half.
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
