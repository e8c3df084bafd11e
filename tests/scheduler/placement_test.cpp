// Tests of the placement of new objects and of the fleet-wide estimates.
#include <gtest/gtest.h>

#include "scheduler_fixture.h"

namespace walnutspur::test {
namespace {

TEST(Placement, NewObjectsAreNotPlacedOnATargetWithoutResponses) {
  SchedulerFixture scheduler;
  scheduler.SetTargets(2);
  for (int i = 0; i < 4; ++i) {
    scheduler.Handle(SchedulerFixture::MakeRequest("s" + std::to_string(i), 0, 0));
  }
  scheduler.Advance(600 * kMs);
  scheduler.ClearActions();
  for (int i = 0; i < 4; ++i) {
    scheduler.Handle(SchedulerFixture::MakeRequest("n" + std::to_string(i), 1, -1));
  }
  ASSERT_GE(scheduler.ActionsOf<SendAttempt>().size(), 2u);
  for (const SendAttempt& attempt : scheduler.ActionsOf<SendAttempt>()) {
    EXPECT_EQ(attempt.target, "t1");
  }
}

// Regression i77bdbd: new objects were sent to a target that refused connections once its backoff was over.
TEST(Placement, NewObjectsAreNotPlacedOnATargetThatRefusesConnections) {
  SchedulerFixture scheduler;
  scheduler.SetTargets(2);
  scheduler.Handle(SchedulerFixture::MakeRequest("a", 0, 0));
  scheduler.FinishAttempt("a", Outcome::kConnectFailed, kMs);
  scheduler.Handle(ClientDisconnected{"a"});
  scheduler.Advance(400 * kMs);  // the backoff is over
  for (int i = 0; i < 3; ++i) {
    scheduler.ClearActions();
    const std::string id = "n" + std::to_string(i);
    scheduler.Handle(SchedulerFixture::MakeRequest(id, 1, -1));
    ASSERT_EQ(scheduler.ActionsOf<SendAttempt>().size(), 1u);
    EXPECT_EQ(scheduler.ActionsOf<SendAttempt>().back().target, "t1");
    scheduler.FinishAttempt(id, Outcome::kCompleted, 20 * kMs, 0, "t1");
  }
}

// Sends a request of a shard and finishes its attempt with `outcome`.
void SendAndFinish(SchedulerFixture& scheduler, const std::string& id, int shard,
                   Outcome outcome = Outcome::kCompleted) {
  scheduler.Handle(SchedulerFixture::MakeRequest(id, 0, shard));
  scheduler.FinishAttempt(id, outcome, 20 * kMs, 0, "t" + std::to_string(shard), true);
}

// Regression: targets that failed fast looked idle and were sent new objects; after the failure of a zone,
// each of its targets was tried before the zone was avoided.
TEST(Placement, NewObjectsAreNotPlacedOnFailingTargetsOrInSilentZones) {
  for (const Outcome outcome : {Outcome::kErrored, Outcome::kTimedOut}) {
    SchedulerFixture scheduler;
    std::vector<Endpoint> fleet;
    for (int i = 0; i < 20; ++i) {
      fleet.push_back(SchedulerFixture::MakeEndpoint("t" + std::to_string(i), i));
      fleet[i].zone = i / 10;
    }
    scheduler.UpdateEndpoints(EndpointUpdateKind::kFull, fleet);
    for (int i = 0; i < 40; ++i) {  // reads from all targets except the last two of each zone
      const int shard = i % 20;
      if (shard % 10 < 8) {
        SendAndFinish(scheduler, "r" + std::to_string(i), shard, shard < 10 ? Outcome::kCompleted : outcome);
      }
      scheduler.Advance(20 * kMs);
    }
    int sent_to_healthy = 0;
    int sent_to_failing = 0;
    for (int i = 0; i < 30; ++i) {
      scheduler.ClearActions();
      scheduler.Handle(SchedulerFixture::MakeRequest("w" + std::to_string(i), 1, -1));
      ASSERT_EQ(scheduler.ActionsOf<SendAttempt>().size(), 1u);
      const std::string target = scheduler.ActionsOf<SendAttempt>()[0].target;
      const int shard = std::stoi(target.substr(1));
      sent_to_healthy += shard < 10 ? 1 : 0;
      sent_to_failing += shard >= 10 && shard < 18 ? 1 : 0;
      scheduler.FinishAttempt("w" + std::to_string(i), Outcome::kCompleted, 20 * kMs, 0, target);
      scheduler.Advance(100 * kMs);
    }
    EXPECT_EQ(sent_to_failing, 0);
    // Errors count against the target, time-outs against its zone.
    EXPECT_GE(sent_to_healthy, outcome == Outcome::kTimedOut ? 30 : 0);
  }
}

// Regression: while a zone was silent, instances paced requests to the other zone as if it were slow as well.
TEST(Pacing, RequestsToOtherTargetsAreNotPacedWhileAZoneIsSilent) {
  for (const bool zone_is_silent : {false, true}) {
    Settings settings = BasicSettings();
    settings.instances = 100;
    SchedulerFixture scheduler(settings);
    scheduler.SetTargets(20);
    for (int i = 0; i < 20; ++i) {
      SendAndFinish(scheduler, "r" + std::to_string(i), i % 10);
      scheduler.Advance(100 * kMs);
    }
    for (int shard = 10; shard < 20; ++shard) {
      const std::string id = "s" + std::to_string(shard);
      if (zone_is_silent) {
        scheduler.Handle(SchedulerFixture::MakeRequest(id, 0, shard));
      } else {
        SendAndFinish(scheduler, id, shard);
      }
    }
    scheduler.Advance(1200 * kMs);  // no target has responded recently: the fleet-wide estimate applies
    int sent_at_once = 0;
    for (const char* id : {"a", "b", "c"}) {
      scheduler.Handle(SchedulerFixture::MakeRequest(id, 0, 3));
      sent_at_once += scheduler.SendCount(id);
    }
    EXPECT_EQ(sent_at_once, 3);
  }
}

}  // namespace
}  // namespace walnutspur::test
