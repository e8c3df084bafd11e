// Tests of endpoint updates: draining targets receive no new requests, and an ended watch is opened again.
//
// A draining target completes its requests and then exits. A request that reaches it later may be lost, and
// violates the platform's rule "drain". An instance whose watch of the endpoint list has ended is not
// notified of drains; in the field, instances used their last list for as long as discovery was down. The
// tests drain targets with each kind of update, or end the watch, and check what is still sent and when a
// watch is opened.
#include <gtest/gtest.h>

#include "scheduler_fixture.h"

namespace walnutspur::test {
namespace {

TEST(Drain, DrainingOrTerminatedTargetReceivesNoNewRequest) {
  for (EndpointState state : {EndpointState::kDraining, EndpointState::kTerminated}) {
    SchedulerFixture scheduler;
    scheduler.SetTargets(2);
    scheduler.UpdateEndpoints(EndpointUpdateKind::kDelta, {SchedulerFixture::MakeEndpoint("t0", 0, state)});
    scheduler.Advance(2 * kSec);
    scheduler.Handle(SchedulerFixture::MakeRequest("a", 0, 0));
    scheduler.Advance(kSec);
    EXPECT_EQ(scheduler.SendCount("a"), 0);
  }
}

TEST(Drain, TargetAbsentFromAFullUpdateReceivesNoNewRequest) {
  SchedulerFixture scheduler;
  scheduler.SetTargets(2);
  scheduler.UpdateEndpoints(EndpointUpdateKind::kFull, {SchedulerFixture::MakeEndpoint("t1", 1)});
  scheduler.Handle(SchedulerFixture::MakeRequest("a", 0, 0));
  scheduler.Advance(kSec);
  EXPECT_EQ(scheduler.SendCount("a"), 0);
}

TEST(Drain, ReplacementTargetReceivesTheRequestsOfTheShard) {
  SchedulerFixture scheduler;
  scheduler.SetTargets(2);
  scheduler.UpdateEndpoints(EndpointUpdateKind::kDelta,
                            {SchedulerFixture::MakeEndpoint("t0", 0, EndpointState::kDraining)});
  scheduler.UpdateEndpoints(EndpointUpdateKind::kDelta, {SchedulerFixture::MakeEndpoint("t9", 0)});
  scheduler.Handle(SchedulerFixture::MakeRequest("a", 0, 0));
  ASSERT_EQ(scheduler.SendCount("a"), 1);
  EXPECT_EQ(scheduler.ActionsOf<SendAttempt>().back().target, "t9");
}

TEST(Drain, SubscriberOpensAWatchAtStartAndAfterAFailure) {
  Settings settings = BasicSettings();
  settings.discovery = DiscoveryMode::kSubscribe;
  SchedulerFixture scheduler(settings);
  EXPECT_EQ(scheduler.ActionsOf<WatchEndpoints>().size(), 1u);
  scheduler.UpdateEndpoints(EndpointUpdateKind::kFailed, {});
  scheduler.Advance(3 * kSec);
  EXPECT_EQ(scheduler.ActionsOf<WatchEndpoints>().size(), 2u);
}

TEST(Drain, WatchIsRepeatedOnlyIfItHasNoResponse) {
  for (bool has_response : {false, true}) {
    Settings settings = BasicSettings();
    settings.discovery = DiscoveryMode::kSubscribe;
    SchedulerFixture scheduler(settings);
    scheduler.UpdateEndpoints(EndpointUpdateKind::kCached, {SchedulerFixture::MakeEndpoint("t0", 0)});
    if (has_response) {
      scheduler.UpdateEndpoints(EndpointUpdateKind::kDelta, {});
    }
    scheduler.Advance(8 * kSec);
    EXPECT_EQ(scheduler.ActionsOf<WatchEndpoints>().size(), has_response ? 1u : 2u);
  }
}

// A drain that discovery learns of after the end of the watch counts as notified 6 s later. The drain grace
// is 1 s here.
TEST(Drain, NothingIsSentAfterTheEndpointLeaseHasExpired) {
  Settings settings = BasicSettings();
  settings.discovery = DiscoveryMode::kSubscribe;
  SchedulerFixture scheduler(settings);
  scheduler.SetTargets(1);
  scheduler.Advance(20 * kSec);
  scheduler.Handle(SchedulerFixture::MakeRequest("watched"));
  EXPECT_EQ(scheduler.SendCount("watched"), 1);
  scheduler.FinishAttempt("watched", Outcome::kCompleted, 20 * kMs, 0, "t0", true);
  scheduler.UpdateEndpoints(EndpointUpdateKind::kFailed, {});
  scheduler.Advance(6 * kSec);
  scheduler.UpdateEndpoints(EndpointUpdateKind::kFailed, {});
  scheduler.Handle(SchedulerFixture::MakeRequest("within_the_lease"));
  EXPECT_EQ(scheduler.SendCount("within_the_lease"), 1);
  scheduler.FinishAttempt("within_the_lease", Outcome::kCompleted, 20 * kMs, 0, "t0", true);
  scheduler.Advance(kSec);
  scheduler.Handle(SchedulerFixture::MakeRequest("past_the_lease", 1));
  EXPECT_EQ(scheduler.SendCount("past_the_lease"), 0);
  ASSERT_EQ(scheduler.ActionsOf<RejectRequest>().size(), 1u);
  EXPECT_EQ(scheduler.ActionsOf<RejectRequest>().back().id, "past_the_lease");
  scheduler.UpdateEndpoints(EndpointUpdateKind::kDelta, {});
  scheduler.Handle(SchedulerFixture::MakeRequest("after"));
  EXPECT_EQ(scheduler.SendCount("after"), 1);
}

TEST(Drain, NoWatchIsOpenedIfUpdatesArePushed) {
  SchedulerFixture scheduler;
  scheduler.UpdateEndpoints(EndpointUpdateKind::kFailed, {});
  scheduler.Advance(3 * kSec);
  EXPECT_TRUE(scheduler.ActionsOf<WatchEndpoints>().empty());
}

// The configured instance count is an estimate; the membership service reports the actual one.
TEST(FleetSize, ReplacesTheConfiguredInstanceCount) {
  Settings settings = BasicSettings();
  settings.instances = 300;
  settings.discovery = DiscoveryMode::kSubscribe;
  for (const bool has_fleet_size : {false, true}) {
    SchedulerFixture scheduler(settings);
    if (has_fleet_size) {
      scheduler.Handle(FleetSize{2, 0.5});
    }
    scheduler.Advance(2 * kSec);  // the watch has timed out
    scheduler.UpdateEndpoints(EndpointUpdateKind::kFailed, {});
    scheduler.ClearActions();
    scheduler.Advance(1'100 * kMs);
    EXPECT_EQ(scheduler.ActionsOf<WatchEndpoints>().size(), has_fleet_size ? 1u : 0u);
  }
}

}  // namespace
}  // namespace walnutspur::test
