// Tests of slow start: a target that has just restarted is sent a limited rate.
//
// A restarted target has a fraction of its full capacity at first, and fails if all instances together exceed
// a multiple of that for a second. Hundreds of instances share no state. Two failures occurred in the field:
// each instance's share of the slow start units was less than one request, so that none sent anything and
// restarted targets were idle for 17 s; and, because of a wrong clock, instances treated a target in slow
// start as one in steady state. The tests restart a target and compare the units sent to it with the units
// that it served before.
#include <gtest/gtest.h>

#include "scheduler_fixture.h"

namespace walnutspur::test {
namespace {

constexpr double kUnitsPerRequest = 2;  // units of SchedulerFixture::MakeRequest

// Returns the units of all attempts sent to `target`.
double UnitsSentTo(const SchedulerFixture& scheduler, const std::string& target) {
  double units = 0;
  for (const SendAttempt& attempt : scheduler.ActionsOf<SendAttempt>()) {
    units += attempt.target == target ? kUnitsPerRequest : 0;
  }
  return units;
}

constexpr Time kRequestInterval = 200 * kMs;  // 5 requests (10 units) per second

// Sends `count` requests to shard 0, one every kRequestInterval; each attempt completes `latency` after it
// was sent. Returns the units sent.
double SendRequests(SchedulerFixture& scheduler, const std::string& id_prefix, int count, Time latency) {
  double units = 0;
  for (int i = 0; i < count; ++i) {
    scheduler.ClearActions();
    const std::string id = id_prefix + std::to_string(i);
    scheduler.Handle(SchedulerFixture::MakeRequest(id, 0));
    scheduler.Advance(latency);
    if (scheduler.SendCount(id) > 0) {
      scheduler.FinishAttempt(id, Outcome::kCompleted);
      units += kUnitsPerRequest;
    }
    scheduler.Advance(kRequestInterval - latency);
  }
  return units;
}

void RestartTarget(SchedulerFixture& scheduler) {
  scheduler.UpdateEndpoints(
      EndpointUpdateKind::kDelta,
      {SchedulerFixture::MakeEndpoint("t0", 0, EndpointState::kActive, scheduler.now())});
}

Settings SettingsOfManyInstances() {
  Settings settings = BasicSettings();
  settings.instances = 200;
  return settings;
}

// Regression i6a82cc: each of hundreds of instances gets only a fraction of a request of the slow start
// units.
TEST(SlowStart, RestartedTargetIsSentAFractionOfItsFormerRate) {
  const Settings settings = SettingsOfManyInstances();
  SchedulerFixture scheduler(settings);
  scheduler.SetTargets(1);
  SendRequests(scheduler, "before", 100, 0);
  RestartTarget(scheduler);
  const double sent = SendRequests(scheduler, "after", 20, 100 * kMs);
  // In steady state the target served ten units per second to this instance. Slow start allows a fifth of
  // that at first and four fifths within a second: at most what it served in four seconds, plus one bucket.
  EXPECT_LE(sent, 4 * 10 * 1.3 + settings.max_request_units);
  EXPECT_GE(sent, 10);
}

TEST(SlowStart, RestartedTargetThatServedNothingBeforeIsSentNothing) {
  SchedulerFixture scheduler(SettingsOfManyInstances());
  scheduler.SetTargets(1);
  RestartTarget(scheduler);
  EXPECT_LE(SendRequests(scheduler, "after", 20, 100 * kMs), 0);
}

// Regression ie1b203: clients move between instances, so the units that other targets served to this instance
// count in part.
TEST(SlowStart, InstanceNewToATargetInSlowStartSendsAFractionOfItsRate) {
  for (const bool served : {false, true}) {
    const Settings settings = SettingsOfManyInstances();
    SchedulerFixture scheduler(settings);
    scheduler.SetTargets(2);
    for (int i = 0; i < 100 && served; ++i) {
      const std::string id = "r" + std::to_string(i);
      scheduler.Handle(SchedulerFixture::MakeRequest(id, 0, 1));
      scheduler.FinishAttempt(id, Outcome::kCompleted, 20 * kMs, 0, "t1");
      scheduler.Advance(200 * kMs);
    }
    RestartTarget(scheduler);
    double sent = 0;
    for (int i = 0; i < 10; ++i) {
      const std::string id = "c" + std::to_string(i);
      scheduler.Handle(SchedulerFixture::MakeRequest(id, 0));
      scheduler.Advance(400 * kMs);
      if (scheduler.SendCount(id) > 0) {
        scheduler.FinishAttempt(id, Outcome::kCompleted);
        sent += kUnitsPerRequest;
      }
    }
    // It had ten units per second at one of two targets: a quarter of that, plus one bucket.
    EXPECT_LE(sent, served ? 4 * 2.5 * 1.3 + settings.max_request_units : 0);
    if (served) {
      EXPECT_GE(sent, 4);
    }
  }
}

TEST(SlowStart, SlowStartUnitsAreDividedAmongInstances) {
  Settings settings = BasicSettings();
  settings.instances = 2;
  SchedulerFixture scheduler(settings);
  scheduler.UpdateEndpoints(
      EndpointUpdateKind::kFull,
      {SchedulerFixture::MakeEndpoint("t0", 0, EndpointState::kActive, scheduler.now())});
  for (int i = 0; i < 40; ++i) {
    const std::string id = "r" + std::to_string(i);
    scheduler.Handle(SchedulerFixture::MakeRequest(id));
    scheduler.FinishAttempt(id, Outcome::kErrored);  // frees the concurrency limit and proves no capacity
  }
  EXPECT_GE(UnitsSentTo(scheduler, "t0"), 6);
  EXPECT_LE(UnitsSentTo(scheduler, "t0"), 10);
}

TEST(SlowStart, TargetInSteadyStateIsNotLimited) {
  Settings settings = BasicSettings();
  settings.instances = 2;
  SchedulerFixture scheduler(settings);
  scheduler.UpdateEndpoints(
      EndpointUpdateKind::kFull,
      {SchedulerFixture::MakeEndpoint("t0", 0, EndpointState::kActive, scheduler.now() - 11 * kSec)});
  for (int i = 0; i < 40; ++i) {
    const std::string id = "r" + std::to_string(i);
    scheduler.Handle(SchedulerFixture::MakeRequest(id));
    scheduler.FinishAttempt(id, Outcome::kCompleted);
  }
  EXPECT_EQ(UnitsSentTo(scheduler, "t0"), 80);
}

// Returns the units sent to a target that is first listed by a delta, two seconds after a full list without
// it. The list states that the target started `age` ago; the list's clock is ahead of the events' by
// `clock_offset`.
int UnitsSentToNewTarget(Time age, Time clock_offset) {
  Settings settings = BasicSettings();
  settings.instances = 2;
  SchedulerFixture scheduler(settings);
  scheduler.UpdateEndpoints(EndpointUpdateKind::kFull, {SchedulerFixture::MakeEndpoint("t1", 1)});
  scheduler.Advance(2 * kSec);
  Endpoint new_target =
      SchedulerFixture::MakeEndpoint("t0", 0, EndpointState::kActive, scheduler.now() - age);
  new_target.clock_offset = clock_offset;
  scheduler.UpdateEndpoints(EndpointUpdateKind::kDelta, {new_target});
  for (int i = 0; i < 40; ++i) {
    const std::string id = "r" + std::to_string(i);
    scheduler.Handle(SchedulerFixture::MakeRequest(id));
    scheduler.FinishAttempt(id, Outcome::kErrored);  // frees the concurrency limit and proves no capacity
  }
  return UnitsSentTo(scheduler, "t0");
}

TEST(SlowStart, TargetAbsentFromEarlierListsCountsAsJustStarted) {
  EXPECT_LE(UnitsSentToNewTarget(kSec, 0), 12);         // the clocks agree
  EXPECT_LE(UnitsSentToNewTarget(3600 * kSec, 0), 12);  // the stated start is an hour too early
  EXPECT_LE(UnitsSentToNewTarget(kSec - 3600 * kSec, -3600 * kSec), 12);  // the clock is known to be behind
  EXPECT_LE(UnitsSentToNewTarget(-3600 * kSec, 0), 12);                   // the stated start is in the future
}

}  // namespace
}  // namespace walnutspur::test
