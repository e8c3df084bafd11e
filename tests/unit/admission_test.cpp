// Tests admission and Retry-After under the endpoint lease, and the polls for a new endpoint list.
//
// They guard against requests that are sent to a target after its drain grace has ended. That happens when
// discovery is unavailable while targets begin to drain, so that this instance is not notified. Once the
// lease on the last list has expired, no attempt may therefore be sent and no request may wait.
#include "decision/admission.h"

#include <doctest/doctest.h>

#include "decision/deadlines.h"
#include "decision/final_response.h"
#include "decision_fixture.h"

namespace walnutspur::decision {
namespace {

constexpr Time kDrainGrace = 500'000;
constexpr Time kMaxRetryAfter = 3 * kOneSecond;

Settings SubscribedSettings() {
  Settings settings = MakeSettings();
  settings.discovery = DiscoveryMode::kSubscribe;
  settings.rules.drain_grace = kDrainGrace;
  settings.max_retry_after = kMaxRetryAfter;
  return settings;
}

// A fixture with an endpoint list received from a working watch, and with one queued request that could be
// sent.
struct LeaseFixture : Fixture {
  LeaseFixture() : Fixture(SubscribedSettings()), request(Queue("1", MakeVolume("v"))) {
    request->objective_at = state.now + kObjective;
    state.endpoint_lease.OnStarted(state.now);
    state.endpoint_lease.OnListConfirmed();
  }

  // Records that the watch ended so long ago that the lease has expired.
  void ExpireLease() {
    const Time long_ago = state.now - 60 * kOneSecond;
    state.endpoint_lease.OnFailed(state.now, long_ago, DiscoveryFailure::kNoResponse);
  }

  RequestRef request;
};

}  // namespace

TEST_CASE("Admission: after the endpoint lease has expired, no attempt is sent and no request may wait") {
  LeaseFixture fixture;
  CHECK(MayDispatchTo(fixture.state, *fixture.target));
  CHECK(MayWaitOnArrival(fixture.state, *fixture.request));
  CHECK(MayKeepWaiting(fixture.state, *fixture.request));
  fixture.ExpireLease();
  CHECK_FALSE(MayDispatchTo(fixture.state, *fixture.target));
  CHECK_FALSE(MayWaitOnArrival(fixture.state, *fixture.request));
  CHECK_FALSE(MayKeepWaiting(fixture.state, *fixture.request));
}

TEST_CASE("Admission: an attempt must be written before the endpoint lease expires") {
  LeaseFixture fixture;
  CHECK(LatestSendTime(fixture.state, *fixture.request) == 0);
  fixture.state.endpoint_lease.OnFailed(fixture.state.now, fixture.state.now, DiscoveryFailure::kNoResponse);
  CHECK(LatestSendTime(fixture.state, *fixture.request) == fixture.state.endpoint_lease.expires_at());
}

TEST_CASE("Admission: attempts are sent only to a shard's active target, and not during its backoff") {
  LeaseFixture fixture;
  fixture.target->backoff.OnConnectFailed(fixture.state.now);
  CHECK_FALSE(MayDispatchTo(fixture.state, *fixture.target));
  fixture.target->backoff.OnTargetRestarted();
  TargetState& other = fixture.state.endpoints.FindOrAdd("b");
  other.CopyFrom({"b", EndpointState::kActive, 3, 1});
  CHECK_FALSE(MayDispatchTo(fixture.state, other));
  fixture.target->CopyFrom({"a", EndpointState::kDraining, 3, 1});
  CHECK_FALSE(MayDispatchTo(fixture.state, *fixture.target));
}

TEST_CASE("Admission: a request whose deadline expires before the next timer may not wait") {
  LeaseFixture fixture;
  fixture.request->deadline = fixture.state.now + 2 * kTimerPeriod;
  CHECK(MayWaitOnArrival(fixture.state, *fixture.request));
  CHECK_FALSE(MayKeepWaiting(fixture.state, *fixture.request));
  fixture.request->deadline -= 1;
  CHECK_FALSE(MayWaitOnArrival(fixture.state, *fixture.request));
}

TEST_CASE("Admission: a request that would be late even at an idle target may not keep waiting") {
  LeaseFixture fixture;
  const Time service_time = 20'000;  // assumed for one unit until the first response
  fixture.request->objective_at = fixture.state.now + service_time;
  CHECK(MayKeepWaiting(fixture.state, *fixture.request));
  fixture.request->objective_at -= 1;
  CHECK_FALSE(MayKeepWaiting(fixture.state, *fixture.request));
}

TEST_CASE("RetryAfter: returns the time until the target can serve, or the maximum if no target can") {
  LeaseFixture fixture;
  fixture.target->latency.SetQueueing(Duration::zero(), fixture.state.now);
  CHECK(RetryAfter(fixture.state, *fixture.request) == kTimerPeriod);
  fixture.target->latency.SetQueueing(Microseconds(kOneSecond), fixture.state.now);
  CHECK(RetryAfter(fixture.state, *fixture.request) == kOneSecond);
  for (int i = 0; i < 4; ++i) {
    fixture.target->backoff.OnConnectFailed(fixture.state.now);
  }
  CHECK(RetryAfter(fixture.state, *fixture.request) == fixture.target->backoff.ends_at() - fixture.state.now);
  fixture.ExpireLease();
  CHECK(RetryAfter(fixture.state, *fixture.request) == kMaxRetryAfter);
}

TEST_CASE("EndpointPoller: one poll is in flight at a time, and a response cancels the next one") {
  EndpointPoller poller(SubscribedSettings());
  RandomSource random(7);
  CHECK_FALSE(poller.IsDue(kStart));
  poller.OnPolled(kStart);
  CHECK_FALSE(poller.IsDue(kStart + 5 * kOneSecond - 1));
  CHECK(poller.IsDue(kStart + 5 * kOneSecond));
  poller.OnUpdateStarted(kStart + kOneSecond);  // postpones the next poll
  CHECK_FALSE(poller.IsDue(kStart + 5 * kOneSecond));
  poller.OnResponse();
  CHECK_FALSE(poller.IsDue(kStart + 60 * kOneSecond));
  poller.OnFailed(kStart, DiscoveryFailure::kUnreachable, random);
  CHECK_FALSE(poller.IsDue(kStart + 150'000 - 1));
  CHECK(poller.IsDue(kStart + 300'000));
}

TEST_CASE("EndpointPoller: if endpoint updates are pushed, it neither polls nor draws random numbers") {
  Settings settings = SubscribedSettings();
  settings.discovery = DiscoveryMode::kAutomatic;
  EndpointPoller poller(settings);
  RandomSource random(7);
  poller.OnFailed(kStart, DiscoveryFailure::kNoResponse, random);
  CHECK_FALSE(poller.IsDue(kStart + 60 * kOneSecond));
  CHECK(random.Next() == RandomSource(7).Next());
}

}  // namespace walnutspur::decision
