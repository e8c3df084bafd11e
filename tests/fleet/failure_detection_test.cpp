// Members crash, leave, restart or are stopped for a while; links lose datagrams or work in one direction
// only. A member that has crashed must be failed for all others within seconds, and no running member that
// can be reached may be declared failed. In virtual time.
#include "cluster_fixture.h"

namespace walnutspur {

using lab::SimulatedCluster;

namespace {

// Stops a member while one of its probes is unanswered and a suspicion runs, and resumes it after 20 s.
void CheckStopWithProbeInFlight(SimulatedCluster& cluster) {
  cluster.SetPartition([](int sender, int receiver) { return sender != 1 && receiver != 0; });
  for (int i = 0; i < 100 && cluster.membership(0).suspect_count() == 0; ++i) {
    cluster.Run(kSecond / 100);
  }
  REQUIRE(cluster.membership(0).suspect_count() > 0);  // and a probe is in flight
  cluster.Stop(0);
  cluster.SetPartition(nullptr);
  cluster.Run(20 * kSecond);
  const int before = cluster.false_failures();
  const int suspects = cluster.membership(0).suspect_count();
  cluster.Resume(0);
  CHECK(cluster.membership(0).suspect_count() <= suspects);
  CheckConverges(cluster);
  CHECK(cluster.false_failures() == before);
}

}  // namespace

TEST_CASE("all learn of a crash, of a departure at once, and of a restart under the same name at once") {
  SimulatedCluster cluster = ConvergedCluster(9);
  cluster.Run(60 * kSecond);  // so that its datagrams' numbers are far above those of its next process
  cluster.Crash(4);
  CHECK(cluster.RunUntilFailed(4, kConvergenceTime) >= 0);
  cluster.Start(4);
  CheckConverges(cluster, kSecond);
  cluster.Run(10 * kSecond);
  CHECK(cluster.Converged());
  cluster.Leave(2);
  CHECK(cluster.RunUntilFailed(2, kSecond / 2) >= 0);
  CheckConverges(cluster);
  CHECK(cluster.false_failures() == 0);
}

// A process is stopped for 20 s, as by a debugger or a paused virtual machine. All its timers fire late when
// it resumes, with the answers of the others unread in its socket.
TEST_CASE("a process that resumes after 20 s declares no member failed, and is alive again") {
  SimulatedCluster cluster = ConvergedCluster(9);
  cluster.Stop(5);
  cluster.Run(20 * kSecond);
  CHECK(cluster.RunUntilFailed(5, 1) >= 0);
  const int before = cluster.false_failures();
  cluster.Resume(5);
  CheckConverges(cluster);
  CHECK(cluster.false_failures() == before);
  CHECK(cluster.membership(5).counters().stalls > 0);
}

TEST_CASE("probes that time out while a process is stopped are no evidence against others") {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    SimulatedCluster cluster = ConvergedCluster(5, seed);
    CheckStopWithProbeInFlight(cluster);
  }
}

// A member of a large fleet crashes. A suspicion that only one member confirms would last too long.
TEST_CASE("confirmations shorten a suspicion: 30 members learn of a crash within 2 s") {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    SimulatedCluster cluster = ConvergedCluster(30, seed);
    cluster.Crash(15);
    CHECK(cluster.RunUntilFailed(15, 2 * kSecond) >= 0);
  }
}

// Datagrams of one member do not reach one other, and then two members do not reach each other, while all
// others reach both.
TEST_CASE("a one-way partition, and two members that do not reach each other, make no member failed") {
  SimulatedCluster cluster = ConvergedCluster(9);
  cluster.SetPartition([](int sender, int receiver) { return sender != 3 || receiver != 6; });
  cluster.Run(20 * kSecond);
  // No datagrams between 1 and 2.
  cluster.SetPartition(
      [](int sender, int receiver) { return !(sender + receiver == 3 && (sender == 1 || receiver == 1)); });
  cluster.Run(20 * kSecond);
  cluster.SetPartition(nullptr);
  CheckConverges(cluster);
  CHECK(cluster.false_failures() == 0);
  for (int i = 0; i < 9; ++i) {
    CHECK(cluster.membership(i).counters().refuted == 0);  // indirect probes reached them
  }
}

TEST_CASE("a clock that runs 1 % fast changes nothing") {
  SimulatedCluster cluster = ConvergedCluster(5);
  cluster.SetClockRate(2, 1.01);
  cluster.Run(300 * kSecond);
  CHECK(cluster.Converged());
  CHECK(cluster.false_failures() == 0);
}

TEST_CASE("no member is declared failed while datagrams are lost") {
  SimulatedCluster cluster = ConvergedCluster(30);
  cluster.SetLoss(0.1);
  cluster.Run(120 * kSecond);
  CHECK(cluster.false_failures() == 0);
  cluster.SetLoss(0);
  CheckConverges(cluster);
}

}  // namespace walnutspur
