// Tests of the adaptive concurrency limit of a target and of the attempts counted against it.
#include <gtest/gtest.h>

#include "scheduler_fixture.h"

namespace walnutspur::test {
namespace {

TEST(ConcurrencyLimit, UnitsInFlightRiseAtLowLatencyAndFallAtHighLatency) {
  SchedulerFixture scheduler;
  scheduler.SetTargets(1);
  int next_id = 0;
  auto flood = [&] {
    scheduler.ClearActions();
    for (int i = 0; i < 60; ++i) {
      scheduler.Handle(SchedulerFixture::MakeRequest("r" + std::to_string(next_id++)));
    }
    return static_cast<int>(scheduler.ActionsOf<SendAttempt>().size());
  };
  auto complete_all = [&](Time latency) {
    for (int round = 0; round < 8; ++round) {
      const std::vector<SendAttempt> sends = scheduler.TakeAttempts();
      for (const SendAttempt& attempt : sends) {
        scheduler.FinishAttempt(attempt.id, Outcome::kCompleted, latency);
      }
      for (int i = 0; i < 10; ++i) {
        scheduler.Handle(SchedulerFixture::MakeRequest("r" + std::to_string(next_id++)));
      }
      scheduler.Advance(200 * kMs);
    }
    for (int round = 0; round < 40; ++round) {  // drain the queue
      const std::vector<SendAttempt> sends = scheduler.TakeAttempts();
      for (const SendAttempt& attempt : sends) {
        scheduler.FinishAttempt(attempt.id, Outcome::kCompleted, latency);
      }
      scheduler.Advance(40 * kMs);
    }
  };
  const int first = flood();
  EXPECT_LT(first, 60);
  complete_all(20 * kMs);
  const int fast = flood();
  complete_all(900 * kMs);
  const int slow = flood();
  EXPECT_GT(fast, first);
  EXPECT_LT(slow, fast);
}

// Regression i5a2999: a target that drops single attempts looked stuck until the client's deadline.
TEST(OvertakenAttempt, DoesNotOccupyTheTarget) {
  SchedulerFixture scheduler;
  scheduler.SetTargets(1);
  scheduler.Handle(SchedulerFixture::MakeRequest("dropped"));
  for (int i = 0; i < 20; ++i) {
    const std::string id = "r" + std::to_string(i);
    scheduler.Handle(SchedulerFixture::MakeRequest(id));
    scheduler.Advance(20 * kMs);
    scheduler.FinishAttempt(id, Outcome::kCompleted, 20 * kMs);
  }
  scheduler.Advance(100 * kMs);
  scheduler.Handle(SchedulerFixture::MakeRequest("next"));
  EXPECT_EQ(scheduler.SendCount("next"), 1);
}

// Regression: reads on silent connections timed out at twice their objective and were not retried.
TEST(OvertakenAttempt, IsRetriedWhileTheObjectiveCanBeMet) {
  for (const int request_class : {0, 1}) {
    Settings settings = BasicSettings();
    settings.can_cancel = true;
    SchedulerFixture scheduler(settings);
    scheduler.SetTargets(1);
    scheduler.Handle(SchedulerFixture::MakeRequest("dropped", request_class));
    Time cancelled_at = 0;
    for (int i = 0; i < 15; ++i) {
      const std::string id = "r" + std::to_string(i);
      scheduler.Handle(SchedulerFixture::MakeRequest(id));
      scheduler.Advance(20 * kMs);
      scheduler.FinishAttempt(id, Outcome::kCompleted, 20 * kMs);
      if (cancelled_at == 0 && !scheduler.ActionsOf<CancelAttempt>().empty()) {
        cancelled_at = scheduler.now();
      }
    }
    const auto cancelled = scheduler.ActionsOf<CancelAttempt>();
    if (request_class == 1) {  // it may have run and must not run twice
      EXPECT_TRUE(cancelled.empty());
      continue;
    }
    ASSERT_EQ(cancelled.size(), 1u);  // once
    EXPECT_EQ(cancelled[0].id, "dropped");
    EXPECT_GT(cancelled_at, 1'000 * kSec + 60 * kMs);  // slightly uneven latencies cancel nothing
    scheduler.FinishAttempt("dropped", Outcome::kCancelled, 100 * kMs);
    EXPECT_EQ(scheduler.SendCount("dropped"), 2);
    EXPECT_EQ(scheduler.FinalResponseCount("dropped"), 0);
  }
}

TEST(OvertakenAttempt, TargetThatLooksStuckIsSentSingleAttempts) {
  SchedulerFixture scheduler;
  scheduler.SetTargets(1);
  scheduler.Handle(SchedulerFixture::MakeRequest("stuck"));
  scheduler.Advance(500 * kMs);
  scheduler.ClearActions();
  for (int i = 0; i < 70; ++i) {
    scheduler.Handle(SchedulerFixture::MakeRequest("r" + std::to_string(i)));
    scheduler.Advance(20 * kMs);
  }
  const auto sends = static_cast<int>(scheduler.ActionsOf<SendAttempt>().size());
  EXPECT_GE(sends, 2);
  EXPECT_LE(sends, 4);
}

// Regression: late requests were sent to every target where this instance had nothing in flight. The attempts
// that each of hundreds of instances may always send must not keep a slow target overloaded.
TEST(OvertakenAttempt, HundredsOfInstancesTogetherSendOneAttemptAtATimeToASlowTarget) {
  for (const int instances : {3, 200}) {
    Settings settings = BasicSettings();
    settings.instances = instances;
    SchedulerFixture scheduler(settings);
    scheduler.SetTargets(1);
    for (int i = 0; i < 6; ++i) {
      scheduler.Handle(SchedulerFixture::MakeRequest("stuck" + std::to_string(i), 1));
    }
    scheduler.Advance(2 * kSec);  // far past the objective, without a response
    scheduler.ClearActions();
    for (int i = 0; i < 50; ++i) {
      scheduler.Handle(SchedulerFixture::MakeRequest("t" + std::to_string(i), 1));
      scheduler.Advance(100 * kMs);
    }
    EXPECT_EQ(scheduler.ActionsOf<SendAttempt>().empty(), instances == 200);
    for (int i = 50; i < 100; ++i) {
      scheduler.Handle(SchedulerFixture::MakeRequest("t" + std::to_string(i), 1));
      scheduler.Advance(100 * kMs);
    }
    EXPECT_FALSE(scheduler.ActionsOf<SendAttempt>().empty());  // one attempt is sent eventually
  }
}

// Regression i174d19, i6a82cc: one request in flight from each of hundreds of instances kept every target
// seconds behind.
TEST(ConcurrencyLimit, SlowTargetIsSentLessThanOneRequestAtATime) {
  Settings settings = BasicSettings();
  settings.plans[0].reserved_rate = 0;
  settings.classes[0].latency_objective = 20 * kSec;
  settings.classes[0].deadline = 20 * kSec;  // nothing misses it here
  settings.classes[1].latency_objective = 400 * kMs;
  settings.classes[2].latency_objective = 400 * kMs;
  int completed_by_speed[2];
  for (const bool slow : {false, true}) {
    SchedulerFixture scheduler(settings);
    scheduler.SetTargets(1);
    int next_id = 0;
    int completed = 0;
    for (int i = 0; i < 40; ++i) {
      RequestArrived request = SchedulerFixture::MakeRequest("r" + std::to_string(next_id++));
      request.ttl = 20 * kSec;
      scheduler.Handle(request);
      const std::vector<SendAttempt> sends = scheduler.TakeAttempts();
      for (const SendAttempt& attempt : sends) {
        scheduler.FinishAttempt(attempt.id, Outcome::kCompleted, slow ? kSec : 20 * kMs);
        ++completed;
      }
      scheduler.Advance(200 * kMs);
    }
    completed_by_speed[slow] = completed;
  }
  EXPECT_GE(completed_by_speed[false], 39);
  EXPECT_LT(completed_by_speed[true], 20);
  EXPECT_GT(completed_by_speed[true], 2);  // it never stops sending
}

// While the queueing delay exceeds the allowed one, the instance must keep reducing its rate.
TEST(ConcurrencyLimit, PacedInstanceReducesItsRateWhileTheQueueingDelayIsTooLong) {
  Settings settings = BasicSettings();
  settings.plans[0].reserved_rate = 0;
  settings.instances = 200;
  settings.classes[0].latency_objective = 20 * kSec;
  settings.classes[0].deadline = 20 * kSec;  // nothing misses it here
  settings.classes[1].latency_objective = 400 * kMs;
  settings.classes[2].latency_objective = 400 * kMs;
  SchedulerFixture scheduler(settings);
  scheduler.SetTargets(1);
  int next_id = 0;
  const auto completed_in = [&](Time latency, int steps) {
    int completed = 0;
    for (int i = 0; i < steps; ++i) {
      RequestArrived request = SchedulerFixture::MakeRequest("r" + std::to_string(next_id++));
      request.ttl = 20 * kSec;
      scheduler.Handle(request);
      const std::vector<SendAttempt> sends = scheduler.TakeAttempts();
      for (const SendAttempt& attempt : sends) {
        scheduler.FinishAttempt(attempt.id, Outcome::kCompleted, latency);
        ++completed;
      }
      scheduler.Advance(200 * kMs);
    }
    return completed;
  };
  completed_in(20 * kMs, 20);   // baseline latency: 20 ms
  completed_in(400 * kMs, 20);  // the target falls behind
  EXPECT_LE(completed_in(400 * kMs, 100), 12);
}

// An attempt that ended without a response may still be queued at the target, so it counts as in flight for a
// multiple of its age.
TEST(AttemptWithoutResponse, OccupiesItsCapacityForATimeAfterCancellationOrTimeout) {
  for (const Outcome end : {Outcome::kCancelled, Outcome::kTimedOut}) {
    Settings settings = BasicSettings();
    settings.can_cancel = true;
    SchedulerFixture scheduler(settings);
    scheduler.SetTargets(1);
    for (int i = 0; i < 10; ++i) {
      scheduler.Handle(SchedulerFixture::MakeRequest("a" + std::to_string(i), 1));
    }
    const std::vector<SendAttempt> first = scheduler.ActionsOf<SendAttempt>();
    ASSERT_GE(first.size(), 1u);
    ASSERT_LT(first.size(), 10u);
    scheduler.Advance(100 * kMs);
    for (int i = 0; i < 10; ++i) {
      scheduler.Handle(ClientDisconnected{"a" + std::to_string(i)});
    }
    for (const SendAttempt& attempt : first) {
      scheduler.FinishAttempt(attempt.id, end, 100 * kMs);
    }
    scheduler.ClearActions();
    scheduler.Handle(SchedulerFixture::MakeRequest("b", 1));
    scheduler.Advance(100 * kMs);
    EXPECT_EQ(scheduler.SendCount("b"), 0);
    scheduler.Advance(kSec);
    scheduler.Handle(SchedulerFixture::MakeRequest("c", 1));
    EXPECT_EQ(scheduler.SendCount("c"), 1);
  }
}

TEST(AttemptWithoutResponse, CapacityIsFreedByAResponseToALaterAttempt) {
  Settings settings = BasicSettings();
  settings.can_cancel = true;
  SchedulerFixture scheduler(settings);
  scheduler.SetTargets(1);
  const auto send = [&](const char* id) {
    RequestArrived request = SchedulerFixture::MakeRequest(id, 1);
    request.units = 1.5;
    scheduler.Handle(request);
  };
  send("x");
  send("y");
  scheduler.Advance(280 * kMs);
  send("later");  // the initial concurrency limit covers 4.5 units but not 6
  ASSERT_EQ(scheduler.SendCount("later"), 1);
  for (const char* id : {"x", "y"}) {
    scheduler.Handle(ClientDisconnected{id});
    scheduler.FinishAttempt(id, Outcome::kCancelled, 280 * kMs);
  }
  send("next");
  ASSERT_EQ(scheduler.SendCount("next"), 0);
  scheduler.FinishAttempt("later", Outcome::kCompleted, 20 * kMs);
  EXPECT_EQ(scheduler.SendCount("next"), 1);
}

}  // namespace
}  // namespace walnutspur::test
