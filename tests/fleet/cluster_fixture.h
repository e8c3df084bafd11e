// Provides simulated clusters for the tests of the membership, and the checks that these tests share.
#ifndef WALNUTSPUR_TESTS_FLEET_CLUSTER_FIXTURE_H_
#define WALNUTSPUR_TESTS_FLEET_CLUSTER_FIXTURE_H_

#include <doctest/doctest.h>

#include <cstdint>

#include "lab/fleet/simulated_cluster.h"

namespace walnutspur {

constexpr Time kSecond = 1'000'000;             // us
constexpr Time kConvergenceTime = 3 * kSecond;  // maximum time from the last fault until all members agree

// Returns a cluster whose members have all started and agree.
inline lab::SimulatedCluster ConvergedCluster(int members, std::uint64_t seed = 1) {
  lab::ClusterOptions options;
  options.members = members;
  options.seed = seed;
  lab::SimulatedCluster cluster(options);
  for (int i = 0; i < members; ++i) {
    cluster.Start(i);
  }
  REQUIRE(cluster.RunUntilConverged(10 * kSecond) >= 0);
  cluster.Run(2 * kSecond);
  for (int i = 0; i < members; ++i) {
    REQUIRE(cluster.membership(i).converged());
  }
  return cluster;
}

inline void CheckConverges(lab::SimulatedCluster& cluster, Time timeout = kConvergenceTime) {
  const Time duration = cluster.RunUntilConverged(timeout);
  CHECK_MESSAGE(duration >= 0, cluster.FindViolation());
  CHECK(cluster.out_of_order_changes() == 0);
}

inline void InjectIntoAll(lab::SimulatedCluster& cluster, int members, const fleet::Message& message) {
  for (int i = 0; i < members; ++i) {
    cluster.Inject(i, message);
  }
}

// Returns a gossip message that appears to come from member `from`, with a sequence number far above those of
// its own messages.
inline fleet::Message ForgedMessage(const lab::SimulatedCluster& cluster, int from) {
  const fleet::Record& sender = cluster.membership(from).self();
  fleet::Message message;
  message.kind = fleet::MessageKind::kGossip;
  message.from = sender.name;
  message.from_address = sender.address;
  message.started_at = sender.started_at;
  message.sequence_number = 1'000'000;
  return message;
}

}  // namespace walnutspur

#endif  // WALNUTSPUR_TESTS_FLEET_CLUSTER_FIXTURE_H_
