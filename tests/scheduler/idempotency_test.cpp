// Tests that retries never execute a request twice unless its class allows it.
//
// An attempt whose connection is lost, or that times out, may have run. A retry of a write that is not
// idempotent then applies it twice. So does a retry with an idempotency key at a target outside the
// deduplication scope, or one that arrives after the deduplication window, even if it was sent just within
// the window. The tests end attempts in each way and check whether a retry is sent, where, and until when.
#include <gtest/gtest.h>

#include "scheduler_fixture.h"

namespace walnutspur::test {
namespace {

TEST(Idempotency, NonIdempotentRequestThatMayHaveRunFailsWithoutRetry) {
  for (Outcome outcome :
       {Outcome::kErrored, Outcome::kConnectionReset, Outcome::kTimedOut, Outcome::kCancelled}) {
    SchedulerFixture scheduler;
    scheduler.SetTargets(1);
    scheduler.Handle(SchedulerFixture::MakeRequest("a", 1));
    scheduler.FinishAttempt("a", outcome);
    scheduler.Advance(kSec);
    EXPECT_EQ(scheduler.SendCount("a"), 1);
    EXPECT_EQ(scheduler.RejectionCount("a"), 0);
    EXPECT_EQ(scheduler.FailureCount("a"), 1);
  }
}

TEST(Idempotency, NonIdempotentRequestThatNeverRanIsRetried) {
  for (Outcome outcome : {Outcome::kOverloaded, Outcome::kConnectFailed}) {
    Settings settings = BasicSettings();
    // An overloaded target is assumed to need the tightest objective to recover.
    settings.classes[1].latency_objective = kSec;
    SchedulerFixture scheduler(settings);
    scheduler.SetTargets(1);
    scheduler.Handle(SchedulerFixture::MakeRequest("a", 1));
    scheduler.FinishAttempt("a", outcome, 2 * kMs);
    scheduler.Advance(500 * kMs);
    EXPECT_EQ(scheduler.SendCount("a"), 2);
    EXPECT_EQ(scheduler.FinalResponseCount("a"), 0);
  }
}

TEST(Idempotency, IdempotentRequestIsRetriedAfterAnError) {
  SchedulerFixture scheduler;
  scheduler.SetTargets(1);
  scheduler.Handle(SchedulerFixture::MakeRequest("a", 0));
  scheduler.FinishAttempt("a", Outcome::kErrored, 5 * kMs);
  scheduler.Advance(100 * kMs);
  EXPECT_EQ(scheduler.SendCount("a"), 2);
}

TEST(Idempotency, ShardScopedRequestThatMayHaveRunFailsAndIsNotRejected) {
  SchedulerFixture scheduler;
  scheduler.SetTargets(1);
  scheduler.Handle(SchedulerFixture::MakeRequest("a", 2));
  scheduler.FinishAttempt("a", Outcome::kErrored, 5 * kMs);
  scheduler.Advance(600 * kMs);  // past the deduplication window
  for (int attempt = 1; attempt < 4 && scheduler.FinalResponseCount("a") == 0; ++attempt) {
    scheduler.FinishAttempt("a", Outcome::kErrored, kMs, attempt);
  }
  EXPECT_EQ(scheduler.RejectionCount("a"), 0);
  EXPECT_EQ(scheduler.FailureCount("a"), 1);
}

TEST(Idempotency, KeyedRequestIsRetriedOnlyWithinTheDeduplicationWindow) {
  for (bool within_window : {true, false}) {
    Settings settings = BasicSettings();
    settings.classes[2].deduplication_window = 150 * kMs;  // minus 50 ms for the retry to arrive
    SchedulerFixture scheduler(settings);
    scheduler.SetTargets(1);
    scheduler.Handle(SchedulerFixture::MakeRequest("a", 2));
    const Time first = scheduler.now();
    scheduler.Advance(within_window ? 60 * kMs : 120 * kMs);
    scheduler.FinishAttempt("a", Outcome::kErrored, 50 * kMs);
    EXPECT_EQ(scheduler.SendCount("a"), within_window ? 2 : 1);
    EXPECT_EQ(scheduler.ActionsOf<SendAttempt>().back().not_after, within_window ? first + 100 * kMs : 0);
    EXPECT_EQ(scheduler.FailureCount("a"), within_window ? 0 : 1);
  }
}

TEST(Idempotency, KeyedRequestQueuedPastTheDeduplicationWindowIsNotRetried) {
  Settings settings = BasicSettings();
  settings.classes[2].deduplication_window = 100 * kMs;
  SchedulerFixture scheduler(settings);
  scheduler.SetTargets(1);
  scheduler.Handle(SchedulerFixture::MakeRequest("a", 2));
  scheduler.UpdateEndpoints(EndpointUpdateKind::kDelta,
                            {SchedulerFixture::MakeEndpoint("t0", 0, EndpointState::kDraining)});
  scheduler.FinishAttempt("a", Outcome::kErrored, 5 * kMs);  // queued: no target holds its shard
  scheduler.Advance(120 * kMs);
  scheduler.UpdateEndpoints(EndpointUpdateKind::kDelta, {SchedulerFixture::MakeEndpoint("t9", 0)});
  scheduler.Advance(kSec);
  EXPECT_EQ(scheduler.SendCount("a"), 1);
  EXPECT_EQ(scheduler.FailureCount("a"), 1);
}

TEST(Idempotency, ZoneScopedRequestIsRetriedOnlyInItsZone) {
  for (int zone : {0, 1}) {
    Settings settings = BasicSettings();
    settings.classes[2].deduplication_scope = DeduplicationScope::kZone;
    SchedulerFixture scheduler(settings);
    scheduler.SetTargets(1);
    scheduler.Handle(SchedulerFixture::MakeRequest("a", 2));
    Endpoint next = SchedulerFixture::MakeEndpoint("t9", 0);
    next.zone = zone;
    scheduler.UpdateEndpoints(EndpointUpdateKind::kDelta,
                              {SchedulerFixture::MakeEndpoint("t0", 0, EndpointState::kTerminated), next});
    scheduler.FinishAttempt("a", Outcome::kConnectionReset, 5 * kMs);
    scheduler.Advance(40 * kMs);
    EXPECT_EQ(scheduler.SendCount("a"), zone == 0 ? 2 : 1);
  }
}

TEST(Idempotency, RequestDeduplicatedByAllTargetsThatMayHaveRunIsRejectedAfterItsLastAttempt) {
  Settings settings = BasicSettings();
  settings.classes[2].deduplication_scope = DeduplicationScope::kAll;
  settings.max_attempts = 1;
  SchedulerFixture scheduler(settings);
  scheduler.SetTargets(1);
  scheduler.Handle(SchedulerFixture::MakeRequest("a", 2));
  scheduler.FinishAttempt("a", Outcome::kErrored, 5 * kMs);
  EXPECT_EQ(scheduler.RejectionCount("a"), 1);
}

}  // namespace
}  // namespace walnutspur::test
