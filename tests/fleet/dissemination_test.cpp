// Guards against tables that stay different after updates were lost, after a partition of minutes, or after
// all members were restarted while their configured peers were down. When the fault ends, all members must
// soon have the same table, without a burst of refutations, and traffic and memory must stay bounded. Runs in
// virtual time.
#include "cluster_fixture.h"

namespace walnutspur {

using fleet::MemberState;
using fleet::Message;
using fleet::MessageKind;
using lab::SimulatedCluster;

// All updates are removed from all messages apart from digests and their replies, while a member is
// restarted.
TEST_CASE("AntiEntropy: if all gossiped updates are lost, members still converge by comparing digests") {
  SimulatedCluster cluster = ConvergedCluster(9);
  cluster.mutate = [](int, int, Message* message) {
    if (message->kind != MessageKind::kDigest && message->kind != MessageKind::kDigestReply) {
      message->updates.clear();
    }
    return true;
  };
  cluster.Crash(4);
  cluster.Start(4);
  CheckConverges(cluster, 10 * kSecond);
}

// Failure: after the start of 100 members, updates that all have already received are still transmitted.
TEST_CASE("Disseminator: once all members agree, traffic falls below the limit") {
  lab::ClusterOptions options;
  options.members = 100;
  options.measure_sizes = true;
  SimulatedCluster cluster(options);
  for (int i = 0; i < 100; ++i) {
    cluster.Start(i);
  }
  REQUIRE(cluster.RunUntilConverged(10 * kSecond) >= 0);
  cluster.Run(2 * kSecond);
  const std::uint64_t before = cluster.bytes();
  cluster.Run(2 * kSecond);
  CHECK((cluster.bytes() - before) / 2 / 100 < 2'500);
  CHECK(cluster.largest_datagram() <= fleet::kMaxDatagramSize);
}

// A partition divides the fleet into halves that declare each other failed. Failure: after the partition each
// member needs a refutation to become alive on the other side.
TEST_CASE("Membership: after a partition of minutes, both halves converge with few refutations") {
  for (const int members : {4, 30}) {
    SimulatedCluster cluster = ConvergedCluster(members);
    cluster.SetPartition([](int sender, int receiver) { return sender % 2 == receiver % 2; });
    cluster.Run(200 * kSecond);
    CHECK(cluster.membership(0).live_count() == members / 2);
    cluster.SetPartition(nullptr);
    CheckConverges(cluster);
    // Members incremented their incarnations during the partition, so few of them have to refute their
    // failure.
    std::uint64_t refuted = 0;
    for (int i = 0; i < members; ++i) {
      refuted += cluster.membership(i).counters().refuted;
    }
    CHECK(refuted < static_cast<std::uint64_t>(members));
  }
}

// All members restart at the same time; then again, but the configured peers, which the others contact to
// join, are down at first, and only one of them starts later.
TEST_CASE(
    "Membership: members converge after all restart together, even if no configured peer is up at first") {
  SimulatedCluster cluster = ConvergedCluster(9);
  for (int i = 0; i < 9; ++i) {
    cluster.Crash(i);
    cluster.Start(i);
  }
  CheckConverges(cluster);
  for (int i = 0; i < 9; ++i) {
    cluster.Crash(i);
  }
  for (int i = 3; i < 9; ++i) {
    cluster.Start(i);  // no member can reach another
  }
  cluster.Run(10 * kSecond);
  CHECK(cluster.membership(8).live_count() == 1);
  cluster.Start(1);
  CheckConverges(cluster);
}

// Thousands of members join under names that are never used again, and fail. Failure: their records exhaust
// the memory.
TEST_CASE("MemberLifecycle: failed members with names that are used once are removed from the table") {
  lab::ClusterOptions options;
  options.members = 3;
  SimulatedCluster cluster(options);
  for (int i = 0; i < 3; ++i) {
    cluster.Start(i);
  }
  cluster.Run(2 * kSecond);
  Message message = ForgedMessage(cluster, 1);
  for (int i = 0; i < 3'000; ++i) {
    fleet::Record record;
    record.name = "guest" + std::to_string(i);
    record.address = "127.2.0.1:7000";
    record.incarnation = static_cast<std::uint64_t>(cluster.now());
    record.started_at = cluster.now();
    record.state = MemberState::kFailed;
    message.updates = {record};
    message.sequence_number = 1'000'000 + static_cast<std::uint64_t>(i);
    cluster.Inject(0, message);
    cluster.Run(kSecond / 100);
  }
  CHECK(cluster.membership(0).members().size() < 1'100);
  cluster.Run(700 * kSecond);
  CHECK(cluster.membership(0).members().size() == 3);
  CHECK(cluster.membership(0).EntryCount() < 100);
}

TEST_CASE("Membership: if no member has load, all have the same load share") {
  SimulatedCluster cluster = ConvergedCluster(3);
  CHECK(cluster.membership(0).LoadShare() == doctest::Approx(1.0 / 3));
}

}  // namespace walnutspur
