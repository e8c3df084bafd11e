// Guards against faults that only occur between real processes. Datagrams between five processes are lost,
// duplicated, corrupted and replayed; the processes are partitioned, killed, restarted and stopped, and a
// sixth one starts with a name that is in use. They must agree after each fault, and the younger process with
// that name must exit.
#include "lab/fleet/process_cluster.h"

#include <doctest/doctest.h>
#include <poll.h>

namespace walnutspur {
namespace {

constexpr Time kSecond = 1'000'000;  // us

void CheckConverges(lab::ProcessCluster& cluster) {
  CHECK_MESSAGE(cluster.WaitUntilConverged(10 * kSecond) >= 0, cluster.FindViolation());
}

}  // namespace

TEST_CASE("ProcessCluster: five processes converge after a partition, a crash, a stop and a duplicate name") {
  lab::ProcessCluster cluster(WALNUTSPUR_PROGRAM, 5, 7);
  for (int i = 0; i < 5; ++i) {
    cluster.Start(i);
  }
  REQUIRE_MESSAGE(cluster.WaitUntilConverged(20 * kSecond) >= 0, cluster.FindViolation());
  cluster.proxy().SetFaults({.loss = 0.1,
                             .duplication = 0.1,
                             .corruption = 0.02,
                             .replay = 0.1,
                             .min_delay = 0,
                             .max_delay = 20'000});
  cluster.proxy().SetPartition([](int sender, int receiver) { return sender % 2 == receiver % 2; });
  const auto partitioned = [&cluster] {
    return cluster.Status(0)["live"] == 3 && cluster.Status(1)["live"] == 2;
  };
  for (int i = 0; i < 400 && !partitioned(); ++i) {
    poll(nullptr, 0, 20);
  }
  CHECK(cluster.Status(0)["live"] == 3);
  CHECK(cluster.Status(1)["live"] == 2);
  cluster.proxy().SetPartition(nullptr);
  CheckConverges(cluster);
  cluster.Kill(2);
  CheckConverges(cluster);
  cluster.Start(2);
  cluster.Stop(4);
  CheckConverges(cluster);
  cluster.Resume(4);
  cluster.proxy().SetFaults({});
  CheckConverges(cluster);
  cluster.Terminate(3);
  CHECK(cluster.RunDuplicate(1, 3, 10'000) == 1);
  CheckConverges(cluster);
}

}  // namespace walnutspur
