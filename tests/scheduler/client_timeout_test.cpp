// Tests of latency objectives, client timeouts and client abandonment.
//
// A response after the latency objective earns little, and one after the client's deadline nothing. A target
// that is overloaded and still serves such requests serves no request in time. Two failures occurred on the
// bench: clients that disconnected at random made all requests look late, so that most were rejected while
// targets had capacity; and hundreds of instances each sent late requests to targets they had no estimate of.
// The tests make requests late or clients disconnect, and check what is sent, rejected and cancelled.
#include <gtest/gtest.h>

#include "scheduler_fixture.h"

namespace walnutspur::test {
namespace {

TEST(MissedObjective, LateRequestIsNotSentToABusyTarget) {
  SchedulerFixture scheduler;
  scheduler.SetTargets(1);
  for (int i = 0; i < 20; ++i) {
    const std::string id = "r" + std::to_string(i);
    scheduler.Handle(SchedulerFixture::MakeRequest(id));
    scheduler.FinishAttempt(id, Outcome::kCompleted, i < 10 ? 20 * kMs : 300 * kMs);
  }
  RequestArrived request = SchedulerFixture::MakeRequest("late");
  request.ttl = 1500 * kMs;  // a client's retry: its objective has ended
  scheduler.Handle(request);
  scheduler.Advance(40 * kMs);
  EXPECT_EQ(scheduler.SendCount("late"), 0);
  EXPECT_EQ(scheduler.RejectionCount("late"), 1);
}

TEST(MissedObjective, LateRequestIsSentToAnIdleTargetThatRespondedRecently) {
  SchedulerFixture scheduler;
  scheduler.SetTargets(1);
  RequestArrived request = SchedulerFixture::MakeRequest("late", 1);
  request.ttl = 1500 * kMs;
  scheduler.Handle(request);
  EXPECT_EQ(scheduler.SendCount("late"), 0);  // no response yet: hundreds of instances would all send theirs
  scheduler.Handle(SchedulerFixture::MakeRequest("b"));
  scheduler.FinishAttempt("b", Outcome::kCompleted);
  EXPECT_EQ(scheduler.SendCount("late"), 1);
}

TEST(ClientTimeout, RequestWithAShortTimeoutIsSentButItsRetryIsNot) {
  SchedulerFixture scheduler;
  scheduler.SetTargets(1);
  RequestArrived request = SchedulerFixture::MakeRequest("first");
  request.ttl = 150 * kMs;
  scheduler.Handle(request);
  EXPECT_EQ(scheduler.SendCount("first"), 1);
  scheduler.Handle(ClientDisconnected{"first"});
  request.id = "again";
  request.is_client_retry = true;
  scheduler.Handle(request);
  EXPECT_EQ(scheduler.SendCount("again"), 0);
}

// Guards against clients that send many requests at once and leave, so that the requests of others are
// rejected as if these would not wait either.
TEST(ClientTimeout, ClientsThatSentMoreBehindTheirRequestDoNotShowHowLongClientsWait) {
  for (const bool waited : {true, false}) {
    SchedulerFixture scheduler;
    scheduler.SetTargets(1);
    for (int i = 0; i < 50; ++i) {
      const std::string id = "gone" + std::to_string(i);
      scheduler.Handle(SchedulerFixture::MakeRequest(id, 0, 7));  // no target holds the shard
      scheduler.Handle(ClientDisconnected{id, waited});
    }
    scheduler.Advance(20 * kMs);
    scheduler.Handle(SchedulerFixture::MakeRequest("queued", 0, 7));
    scheduler.Advance(40 * kMs);
    EXPECT_EQ(scheduler.RejectionCount("queued"), waited ? 1 : 0);
  }
}

// Regression ib0c9d5: every instance sent new objects to targets from which it had no response.
TEST(MissedObjective, TargetWithoutResponsesIsAssumedToQueueLikeTheOthers) {
  for (const bool behind : {false, true}) {
    SchedulerFixture scheduler;
    scheduler.SetTargets(10);
    for (int i = 0; i < 8; ++i) {
      const std::string id = "r" + std::to_string(i);
      scheduler.Handle(SchedulerFixture::MakeRequest(id, 0, i));
      scheduler.Advance(40 * kMs);
      scheduler.FinishAttempt(id, Outcome::kCompleted, behind ? 900 * kMs : 40 * kMs, 0,
                              "t" + std::to_string(i));
    }
    RequestArrived request = SchedulerFixture::MakeRequest("a", 0, 9);
    request.ttl = 150 * kMs;
    scheduler.Handle(request);
    scheduler.Handle(SchedulerFixture::MakeRequest("b", 0, 9));
    scheduler.ClearActions();
    request.id = "urgent";
    request.shard = 8;
    scheduler.Handle(request);
    EXPECT_EQ(scheduler.SendCount("urgent"), behind ? 0 : 1);
  }
}

TEST(AttemptTimeout, DependsOnIdempotencyAndKeyOrderIfCancellingIsEnabled) {
  Settings settings = BasicSettings();
  settings.classes[2].ordered_by_key = true;
  settings.can_cancel = true;
  SchedulerFixture scheduler(settings);
  scheduler.SetTargets(3);
  for (int c = 0; c < 3; ++c) {
    scheduler.Handle(SchedulerFixture::MakeRequest("r" + std::to_string(c), c, c));
  }
  const std::vector<SendAttempt> sends = scheduler.ActionsOf<SendAttempt>();
  ASSERT_EQ(sends.size(), 3u);
  EXPECT_EQ(sends[0].timeout, 800 * kMs);  // idempotent: twice its objective
  EXPECT_EQ(sends[1].timeout, 400 * kMs);
  EXPECT_EQ(sends[2].timeout, 0);  // ordered by key: a timeout would quarantine its key
}

TEST(ClientTimeout, AttemptIsCancelledAfterDisconnectIfCancellingIsEnabled) {
  for (bool allowed : {false, true}) {
    Settings settings = BasicSettings();
    settings.can_cancel = allowed;
    SchedulerFixture scheduler(settings);
    scheduler.SetTargets(1);
    scheduler.Handle(SchedulerFixture::MakeRequest("a"));
    scheduler.Handle(ClientDisconnected{"a"});
    EXPECT_EQ(scheduler.ActionsOf<CancelAttempt>().size(), allowed ? 1u : 0u);
  }
}

// If clients disconnect before the objective and no others wait longer, requests count as late at the age at
// which they disconnect.
TEST(ClientAbandonment, AgeAtWhichClientsDisconnectReplacesTheObjective) {
  for (const int disconnected : {0, 1, 8}) {
    Settings settings = BasicSettings();
    settings.can_cancel = true;
    SchedulerFixture scheduler(settings);
    scheduler.SetTargets(2);
    for (int i = 0; i < 8; ++i) {
      const bool disconnects = i >= 8 - disconnected;
      const std::string id = "a" + std::to_string(i);
      scheduler.Handle(SchedulerFixture::MakeRequest(id, 1));
      scheduler.Advance(160 * kMs);
      if (disconnects) {
        scheduler.Handle(ClientDisconnected{id});
      }
      if (scheduler.SendCount(id) > 0) {
        scheduler.FinishAttempt(id, disconnects ? Outcome::kCancelled : Outcome::kCompleted, 160 * kMs);
      }
    }
    scheduler.Handle(SchedulerFixture::MakeRequest(
        "unplaced", 1, 5));  // no target holds the shard: it queues until it is late
    scheduler.Advance(disconnected == 8 ? 240 * kMs : 340 * kMs);
    EXPECT_EQ(scheduler.RejectionCount("unplaced"),
              disconnected == 8 ? 1 : 0);  // one client is too small a sample
  }
}

}  // namespace
}  // namespace walnutspur::test
