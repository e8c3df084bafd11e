// Guards against messages that do not come from the process that they name: from a member's process before
// its restart, replayed minutes later, forged, or from a second process with the same name. None of them may
// fail a running member or hide a new process, and of two processes with the same name only the older one may
// continue. Runs in virtual time.
#include "cluster_fixture.h"

namespace walnutspur {

using fleet::MemberState;
using fleet::Message;
using lab::SimulatedCluster;

// A member is restarted while updates about its earlier process are still in circulation.
TEST_CASE("UpdateHandler: updates about an earlier process neither fail nor hide the new one") {
  SimulatedCluster cluster = ConvergedCluster(5);
  const fleet::Record before = cluster.membership(3).self();
  cluster.Crash(3);
  REQUIRE(cluster.RunUntilFailed(3, kConvergenceTime) >= 0);
  cluster.Start(3);
  CheckConverges(cluster);
  fleet::Record failed = before;
  failed.state = MemberState::kFailed;
  failed.reported_by = "m1";
  Message old = ForgedMessage(cluster, 1);
  old.updates = {failed, before};
  InjectIntoAll(cluster, 5, old);
  old.from = before.name;  // the earlier process's own message, replayed
  old.from_address = before.address;
  old.started_at = before.started_at;
  InjectIntoAll(cluster, 5, old);
  cluster.Run(kSecond / 10);
  CHECK_MESSAGE(cluster.Converged(), cluster.FindViolation());
  CHECK(cluster.membership(0).counters().earlier_process > 0);
}

// A network delivers hundreds of old datagrams again, sent before and after the crash of a member.
TEST_CASE("ReplayFilter: hundreds of datagrams replayed after minutes are rejected and change no table") {
  SimulatedCluster cluster = ConvergedCluster(5);
  cluster.Crash(2);
  REQUIRE(cluster.RunUntilFailed(2, kConvergenceTime) >= 0);
  cluster.Run(180 * kSecond);
  std::vector<Message> old;
  for (std::size_t i = 0; i < 400; ++i) {
    if (const Message* message = cluster.Recorded(3'500 + i)) {
      old.push_back(*message);
    }
  }
  REQUIRE(old.size() > 100);
  for (const Message& message : old) {
    InjectIntoAll(cluster, 5, message);
  }
  cluster.Run(kSecond / 10);
  CHECK_MESSAGE(cluster.Converged(), cluster.FindViolation());
  CHECK(cluster.membership(0).counters().replayed > 0);
}

// An operator copies a settings file and starts a second process with the name of a running one.
TEST_CASE(
    "Admission: of two processes with one name the younger terminates, and no member is declared failed") {
  SimulatedCluster cluster = ConvergedCluster(5);
  const int duplicate = cluster.StartDuplicate(3);
  cluster.Run(2 * kSecond);
  CHECK_FALSE(cluster.has_process(duplicate));
  CHECK(cluster.termination_error(duplicate).find("the name m3 is in use at 127.1.0.4:7000") !=
        std::string::npos);
  CheckConverges(cluster);
  CHECK(cluster.false_failures() == 0);
  cluster.Crash(3);  // once the first process has failed, another one may take the name
  REQUIRE(cluster.RunUntilFailed(3, kConvergenceTime) >= 0);
  const int next = cluster.StartDuplicate(3);
  CheckConverges(cluster);
  CHECK(cluster.has_process(next));
}

// Forged messages claim that a member failed in the highest possible incarnation, and has facts that it never
// published.
TEST_CASE("UpdateHandler: a forged incarnation at the maximum is dropped, and forged facts are refuted") {
  SimulatedCluster cluster = ConvergedCluster(5);
  Message forged = ForgedMessage(cluster, 1);
  fleet::Record record = cluster.membership(3).self();
  record.incarnation = ~0ull;
  record.state = MemberState::kFailed;
  forged.updates = {record};
  InjectIntoAll(cluster, 5, forged);
  cluster.Run(kSecond / 10);
  CHECK(cluster.Converged());
  CHECK(cluster.membership(0).counters().forged == 1);
  record = cluster.membership(3).self();
  record.facts.version = ~0ull;
  record.facts.load = 1e9;
  forged.sequence_number = 1'000'001;
  forged.updates = {record};
  InjectIntoAll(cluster, 5, forged);
  cluster.Run(2 * kSecond);
  // After the high sequence numbers of the forged datagrams, m1's own datagrams are rejected until it has
  // refuted that it failed.
  CheckConverges(cluster, 2 * kConvergenceTime);
  CHECK(cluster.membership(0).members().at("m3").record.facts.load < 1e9);
}

}  // namespace walnutspur
