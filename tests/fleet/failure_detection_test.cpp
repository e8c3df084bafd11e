// Guards against false and late failure detection. Members crash, leave, restart or are stopped temporarily;
// links lose datagrams or work in one direction only. All others must declare a crashed member failed within
// seconds, and no running member that can be reached may be declared failed. Runs in virtual time.
#include "cluster_fixture.h"

namespace walnutspur {

using lab::SimulatedCluster;

namespace {

// Stops a member while one of its probes has no ack and a suspicion is running, and resumes it after 20 s.
void CheckStopWithProbeInFlight(SimulatedCluster& cluster) {
  cluster.SetPartition([](int sender, int receiver) { return sender != 1 && receiver != 0; });
  for (int i = 0; i < 100 && cluster.membership(0).suspect_count() == 0; ++i) {
    cluster.Run(kSecond / 100);
  }
  REQUIRE(cluster.membership(0).suspect_count() > 0);  // a probe is in flight as well
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

TEST_CASE("Membership: a crash is detected within 3 s, a departure and a restart within 1 s") {
  SimulatedCluster cluster = ConvergedCluster(9);
  cluster.Run(60 * kSecond);  // its datagrams' sequence numbers are then far above those of its next process
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

// A process is stopped for 20 s, as by a debugger or a paused virtual machine. When it resumes, all its
// timers fire late, and the acks of the others are unread in its socket.
TEST_CASE("FailureDetector: a process that resumes after 20 s declares no member failed and is alive again") {
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

TEST_CASE("FailureDetector: probes that time out while the process is stopped cause no suspicion") {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    SimulatedCluster cluster = ConvergedCluster(5, seed);
    CheckStopWithProbeInFlight(cluster);
  }
}

// A member of a large fleet crashes. Failure: the suspicion lasts too long because only one member confirms
// it.
TEST_CASE("SuspicionTracker: confirmations shorten a suspicion, so 30 members detect a crash within 2 s") {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    SimulatedCluster cluster = ConvergedCluster(30, seed);
    cluster.Crash(15);
    CHECK(cluster.RunUntilFailed(15, 2 * kSecond) >= 0);
  }
}

// Datagrams from one member to one other are lost; then all datagrams between two members are lost, while all
// others reach both.
TEST_CASE("FailureDetector: if one link is broken in one or both directions, no member is declared failed") {
  SimulatedCluster cluster = ConvergedCluster(9);
  cluster.SetPartition([](int sender, int receiver) { return sender != 3 || receiver != 6; });
  cluster.Run(20 * kSecond);
  // Drops all datagrams between members 1 and 2.
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

TEST_CASE("Membership: if one clock runs 1 % fast, members stay converged and none is declared failed") {
  SimulatedCluster cluster = ConvergedCluster(5);
  cluster.SetClockRate(2, 1.01);
  cluster.Run(300 * kSecond);
  CHECK(cluster.Converged());
  CHECK(cluster.false_failures() == 0);
}

TEST_CASE("FailureDetector: while 10 % of datagrams are lost, no member is declared failed") {
  SimulatedCluster cluster = ConvergedCluster(30);
  cluster.SetLoss(0.1);
  cluster.Run(120 * kSecond);
  CHECK(cluster.false_failures() == 0);
  cluster.SetLoss(0);
  CheckConverges(cluster);
}

}  // namespace walnutspur
