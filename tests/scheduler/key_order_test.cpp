// Tests that requests with the same key are sent one at a time, in order of arrival.
#include <gtest/gtest.h>

#include "scheduler_fixture.h"

namespace walnutspur::test {
namespace {

// Returns the basic settings with class 2 ordered by key.
Settings KeyOrderSettings() {
  Settings settings = BasicSettings();
  settings.classes[2].ordered_by_key = true;
  settings.rules.key_quarantine = 200 * kMs;
  return settings;
}

// Returns a request of class 2; all of these requests have the same key.
RequestArrived SameKeyRequest(const std::string& id) {
  RequestArrived request = SchedulerFixture::MakeRequest(id, 2);
  request.key = "same";
  return request;
}

TEST(KeyOrder, RequestsWithTheSameKeyAreSentOneAtATimeInArrivalOrder) {
  SchedulerFixture scheduler(KeyOrderSettings());
  scheduler.SetTargets(1);
  for (const char* id : {"a", "b", "c"}) {
    scheduler.Handle(SameKeyRequest(id));
  }
  EXPECT_EQ(scheduler.ActionsOf<SendAttempt>().size(), 1u);
  scheduler.FinishAttempt("a", Outcome::kCompleted);
  ASSERT_EQ(scheduler.ActionsOf<SendAttempt>().size(), 2u);
  EXPECT_EQ(scheduler.ActionsOf<SendAttempt>().back().id, "b");
}

TEST(KeyOrder, KeyIsQuarantinedAfterAnAttemptThatMayStillRun) {
  for (Outcome outcome : {Outcome::kTimedOut, Outcome::kConnectionReset, Outcome::kCancelled}) {
    SchedulerFixture scheduler(KeyOrderSettings());
    scheduler.SetTargets(1);
    scheduler.Handle(SameKeyRequest("a"));
    scheduler.Handle(SameKeyRequest("b"));
    scheduler.FinishAttempt("a", outcome, 20 * kMs, 0, "t0", true);
    scheduler.Advance(180 * kMs);
    EXPECT_EQ(scheduler.SendCount("b"), 0);
    scheduler.Advance(60 * kMs);
    EXPECT_EQ(scheduler.SendCount("b"), 1);
  }
}

TEST(KeyOrder, FinishedRequestDelaysTheNextWhileItsAttemptIsInFlight) {
  SchedulerFixture scheduler(KeyOrderSettings());
  scheduler.SetTargets(1);
  scheduler.Handle(SameKeyRequest("a"));
  scheduler.Handle(ClientDisconnected{"a"});
  scheduler.Handle(SameKeyRequest("b"));
  scheduler.Advance(100 * kMs);
  EXPECT_EQ(scheduler.SendCount("b"), 0);
  scheduler.FinishAttempt("a", Outcome::kCompleted);
  EXPECT_EQ(scheduler.SendCount("b"), 1);
}

TEST(KeyOrder, RequestsWithOtherKeysAreNotDelayed) {
  SchedulerFixture scheduler(KeyOrderSettings());
  scheduler.SetTargets(1);
  scheduler.Handle(SameKeyRequest("a"));
  scheduler.Handle(SchedulerFixture::MakeRequest("b", 2));
  EXPECT_EQ(scheduler.SendCount("b"), 1);
}

}  // namespace
}  // namespace walnutspur::test
