// Tests that every accepted request gets exactly one final response.
#include <gtest/gtest.h>

#include "scheduler_fixture.h"

namespace walnutspur::test {
namespace {

TEST(RequestCompletion, RequestForAShardWithoutTargetIsRejectedBeforeItsDeadline) {
  SchedulerFixture scheduler;
  scheduler.SetTargets(1);
  scheduler.Handle(SchedulerFixture::MakeRequest("a", 0, 5));
  scheduler.Advance(2 * kSec - 10 * kMs);
  EXPECT_EQ(scheduler.SendCount("a"), 0);
  EXPECT_EQ(scheduler.FinalResponseCount("a"), 1);
}

TEST(RequestCompletion, RequestForANewObjectIsRejectedBeforeItsDeadlineIfNoEndpointUpdateArrived) {
  SchedulerFixture scheduler;
  scheduler.Handle(SchedulerFixture::MakeRequest("a", 1, -1));
  scheduler.Advance(2 * kSec - 10 * kMs);
  EXPECT_EQ(scheduler.RejectionCount("a"), 1);
}

TEST(RequestCompletion, RequestWithoutTimeLeftIsRejectedAtOnce) {
  SchedulerFixture scheduler;
  scheduler.SetTargets(1);
  RequestArrived request = SchedulerFixture::MakeRequest("a");
  request.ttl = 0;
  scheduler.Handle(request);
  EXPECT_EQ(scheduler.RejectionCount("a"), 1);
  EXPECT_EQ(scheduler.SendCount("a"), 0);
}

// Regression: a request whose attempt failed to connect 10 ms before a short deadline stayed queued past it.
TEST(RequestCompletion, RequestIsNotRetriedTooCloseToItsDeadlineForATimer) {
  SchedulerFixture scheduler;
  scheduler.SetTargets(1);
  RequestArrived request = SchedulerFixture::MakeRequest("a");
  request.ttl = 100 * kMs;
  scheduler.Handle(request);
  scheduler.Advance(80 * kMs);
  scheduler.FinishAttempt("a", Outcome::kConnectFailed, 80 * kMs);
  EXPECT_EQ(scheduler.FinalResponseCount("a"), 1);
}

TEST(RequestCompletion, EachRequestToAHungTargetGetsOneFinalResponse) {
  SchedulerFixture scheduler;
  scheduler.SetTargets(1);
  for (int i = 0; i < 60; ++i) {
    scheduler.Handle(SchedulerFixture::MakeRequest("r" + std::to_string(i)));
  }
  scheduler.Advance(2 * kSec - 20 * kMs);
  scheduler.Advance(20 * kMs);
  for (int i = 0; i < 60; ++i) {
    const std::string id = "r" + std::to_string(i);
    if (scheduler.FinalResponseCount(id) == 0) {
      scheduler.FinishAttempt(id, Outcome::kTimedOut, 2 * kSec);
    }
    EXPECT_EQ(scheduler.FinalResponseCount(id), 1) << id;
  }
}

TEST(RequestCompletion, NothingIsSentAfterAClientDisconnect) {
  SchedulerFixture scheduler;
  scheduler.SetTargets(1);
  scheduler.Handle(SchedulerFixture::MakeRequest("a"));
  scheduler.Handle(ClientDisconnected{"a"});
  scheduler.FinishAttempt("a", Outcome::kErrored);
  scheduler.FinishAttempt("a", Outcome::kErrored);  // stale: the attempt has finished
  scheduler.Advance(3 * kSec);
  EXPECT_EQ(scheduler.SendCount("a"), 1);
  EXPECT_EQ(scheduler.FinalResponseCount("a"), 0);
}

}  // namespace
}  // namespace walnutspur::test
