// Tests of dispatch from the queues: order, reserves, priorities, throttles, rejections.
#include <gtest/gtest.h>

#include "scheduler_fixture.h"

namespace walnutspur::test {
namespace {

TEST(Dispatch, UnthrottledRequestIsSentAtOnce) {
  SchedulerFixture scheduler;
  scheduler.SetTargets(1);
  scheduler.Handle(SchedulerFixture::MakeRequest("a"));
  ASSERT_EQ(scheduler.SendCount("a"), 1);
  EXPECT_EQ(scheduler.ActionsOf<SendAttempt>().front().timeout, 0);
}

TEST(Dispatch, EventsWithUnknownRequestsTargetsOrAttemptsAreIgnored) {
  SchedulerFixture scheduler;
  scheduler.SetTargets(1);
  scheduler.ClearActions();
  scheduler.FinishAttempt("unknown", Outcome::kCompleted);
  scheduler.Handle(SchedulerFixture::MakeRequest("a"));
  scheduler.FinishAttempt("a", Outcome::kCompleted, kMs, 0, "unknown");
  scheduler.FinishAttempt("a", Outcome::kErrored, kMs, 3);
  scheduler.Handle(ClientDisconnected{"unknown"});
  scheduler.Handle(ResponseStarted{"unknown"});
  EXPECT_EQ(scheduler.ActionsOf<SendAttempt>().size(), 1u);
  EXPECT_EQ(scheduler.FinalResponseCount("a"), 0);
}

TEST(Dispatch, EqualEventsGiveEqualActions) {
  std::vector<std::string> targets[2];
  for (auto& list : targets) {
    SchedulerFixture scheduler;
    scheduler.SetTargets(8);
    for (int i = 0; i < 30; ++i) {
      scheduler.Handle(SchedulerFixture::MakeRequest("r" + std::to_string(i), 1, -1));
    }
    for (const SendAttempt& attempt : scheduler.ActionsOf<SendAttempt>()) {
      list.push_back(attempt.id + "@" + attempt.target);
    }
  }
  EXPECT_EQ(targets[0], targets[1]);
}

// One volume without a reserve fills the target; a request covered by another volume's reserve is sent first.
TEST(DispatchOrder, ReservedRequestIsSentBeforeExcessRequests) {
  Settings settings = BasicSettings();
  settings.plans[1] = Plan{10, 0, 0, 0, 1, 1};  // no reserved rate
  SchedulerFixture scheduler(settings);
  scheduler.SetTargets(1);
  for (int i = 0; i < 40; ++i) {
    RequestArrived request = SchedulerFixture::MakeRequest("h" + std::to_string(i));
    request.volume = "heavy";
    request.plan = 1;
    scheduler.Handle(request);
  }
  RequestArrived request = SchedulerFixture::MakeRequest("other");
  request.volume = "quiet";
  scheduler.Handle(request);
  ASSERT_EQ(scheduler.SendCount("other"), 0);
  const std::string first = scheduler.ActionsOf<SendAttempt>().front().id;
  scheduler.ClearActions();
  scheduler.FinishAttempt(first, Outcome::kCompleted);
  ASSERT_FALSE(scheduler.ActionsOf<SendAttempt>().empty());
  EXPECT_EQ(scheduler.ActionsOf<SendAttempt>().front().id, "other");
}

TEST(DispatchOrder, CapacityBeyondTheReservesIsSharedByWeight) {
  Settings settings = BasicSettings();
  settings.plans[0].reserved_rate = 0;
  settings.plans[1] = settings.plans[0];
  settings.plans[1].weight = 2;
  SchedulerFixture scheduler(settings);
  scheduler.SetTargets(1);
  for (int i = 0; i < 60; ++i) {
    RequestArrived light = SchedulerFixture::MakeRequest("a" + std::to_string(i));
    light.volume = "a";
    scheduler.Handle(light);
    RequestArrived heavy = SchedulerFixture::MakeRequest("b" + std::to_string(i));
    heavy.volume = "b";
    heavy.plan = 1;
    scheduler.Handle(heavy);
  }
  for (int i = 0; i < 24; ++i) {
    scheduler.FinishAttempt(scheduler.ActionsOf<SendAttempt>()[i].id, Outcome::kCompleted, 10 * kMs);
  }
  int light_sent = 0;
  int heavy_sent = 0;
  const std::vector<SendAttempt> sends = scheduler.ActionsOf<SendAttempt>();
  for (std::size_t i = 4; i < sends.size(); ++i) {
    (sends[i].id[0] == 'a' ? light_sent : heavy_sent)++;
  }
  EXPECT_GT(heavy_sent, light_sent * 3 / 2);
  EXPECT_GT(light_sent, 5);
}

// A volume above its rate is throttled while another misses its latency objective at the same target.
TEST(ControlLoop, VolumeAboveItsRateIsThrottledWhileAnotherMissesItsObjective) {
  auto count_above_rate_sends = [](bool victim_misses) {
    SchedulerFixture scheduler;
    scheduler.SetTargets(1);
    int next_id = 0;
    int above_rate_sends = 0;
    for (int step = 0; step < 300; ++step) {
      for (int i = 0; i < 2; ++i) {
        RequestArrived request = SchedulerFixture::MakeRequest("h" + std::to_string(next_id++));
        request.volume = "heavy";
        scheduler.Handle(request);
      }
      if (step % 10 == 0) {
        RequestArrived request = SchedulerFixture::MakeRequest("v" + std::to_string(next_id++));
        request.volume = "victim";
        scheduler.Handle(request);
      }
      scheduler.Advance(20 * kMs);
      const std::vector<SendAttempt> sends = scheduler.TakeAttempts();
      for (const SendAttempt& attempt : sends) {
        const bool is_above_rate = attempt.id[0] == 'h';
        above_rate_sends += is_above_rate ? 1 : 0;
        if (is_above_rate || !victim_misses) {
          scheduler.FinishAttempt(attempt.id, Outcome::kCompleted, 20 * kMs);
        }  // else the attempt stays in flight
      }
    }
    return above_rate_sends;
  };
  const int unthrottled = count_above_rate_sends(false);
  const int throttled = count_above_rate_sends(true);
  EXPECT_GT(unthrottled, 550);
  EXPECT_LT(throttled, unthrottled * 3 / 4);
}

TEST(DispatchOrder, HigherPriorityClassIsSentFirstAmongTimelyRequests) {
  Settings settings = BasicSettings();
  settings.classes[2].idempotency = Idempotency::kIdempotent;
  settings.classes[2].priority_weight = 1;
  settings.classes[2].latency_objective = 2 * kSec;
  settings.classes[2].deadline = 2 * kSec;
  SchedulerFixture scheduler(settings);
  scheduler.SetTargets(1);
  for (int i = 0; i < 20; ++i) {
    scheduler.Handle(SchedulerFixture::MakeRequest("b" + std::to_string(i), 2));
  }
  scheduler.Handle(SchedulerFixture::MakeRequest("read", 0));
  ASSERT_EQ(scheduler.SendCount("read"), 0);
  scheduler.FinishAttempt("b0", Outcome::kCompleted);
  EXPECT_EQ(scheduler.SendCount("read"), 1);
}

TEST(Rejection, IsSentWithRetryAfterWhenTheObjectiveEndsAndTheShardHasNoTarget) {
  SchedulerFixture scheduler;
  scheduler.SetTargets(1);
  scheduler.Handle(SchedulerFixture::MakeRequest("a", 0, 3));
  scheduler.Advance(420 * kMs);  // its objective has ended, its deadline has not expired
  ASSERT_EQ(scheduler.RejectionCount("a"), 1);
  EXPECT_GT(scheduler.ActionsOf<RejectRequest>().front().retry_after, 0);
  EXPECT_LE(scheduler.ActionsOf<RejectRequest>().front().retry_after, kSec);
}

}  // namespace
}  // namespace walnutspur::test
