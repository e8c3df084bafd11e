// Tests the token bucket, the sliding window, the fair queueing tags and the latency estimate.
#include <doctest/doctest.h>

#include "limits/fair_queue.h"
#include "limits/latency_estimate.h"
#include "limits/sliding_window.h"
#include "limits/token_bucket.h"

namespace walnutspur::limits {
namespace {

constexpr Time kSecond = 1'000'000;
constexpr Time kStart = 1000 * kSecond;

}  // namespace

TEST_CASE("TokenBucket: credit accrues up to the capacity") {
  TokenBucket bucket;
  CHECK_FALSE(bucket.Covers(1));
  bucket.Refill(3, 5);
  CHECK(bucket.Covers(3));
  CHECK_FALSE(bucket.Covers(3.5));
  bucket.Refill(3, 5);
  CHECK(bucket.tokens == 5);
  bucket.tokens -= 7;  // a bucket may be overdrawn
  bucket.Refill(1, 5);
  CHECK(bucket.tokens == -1);
}

TEST_CASE("TokenBucket: a smaller capacity discards credit at the next refill") {
  TokenBucket bucket{5};
  bucket.Refill(0, 2);
  CHECK(bucket.tokens == 2);
}

TEST_CASE("SlidingWindow: ExpireThrough removes the samples up to and including the given time") {
  SlidingWindow window;
  window.Add(kStart);
  window.Add(kStart + 1, 2.5);
  window.Add(kStart + 2, 4);
  CHECK(window.count() == 3);
  CHECK(window.TotalUnits() == 7.5);
  window.ExpireThrough(kStart - 1);
  CHECK(window.count() == 3);
  window.ExpireThrough(kStart + 1);
  CHECK(window.count() == 1);
  CHECK(window.TotalUnits() == 4);
  window.ExpireThrough(kStart + kSecond);
  CHECK(window.count() == 0);
  CHECK(window.TotalUnits() == 0);
}

TEST_CASE("FlowTag: flows are served in proportion to their weights") {
  FlowTag light;
  FlowTag heavy;
  VirtualClock clock;
  int heavy_served = 0;
  for (int i = 0; i < 400; ++i) {
    const bool serves_heavy = heavy.StartTag(0) <= light.StartTag(0);
    FlowTag& served = serves_heavy ? heavy : light;
    const double start_tag = served.StartTag(0);
    clock.Advance(start_tag);
    served.Charge(start_tag, 1, serves_heavy ? 3 : 1);
    heavy_served += serves_heavy ? 1 : 0;
  }
  CHECK(heavy_served == doctest::Approx(300).epsilon(0.01));
}

TEST_CASE("FlowTag: an idle flow starts at the server's virtual time and accumulates no credit") {
  FlowTag busy;
  VirtualClock clock;
  for (int i = 0; i < 10; ++i) {
    const double start_tag = busy.StartTag(0);
    clock.Advance(start_tag);
    busy.Charge(start_tag, 2, 1);
  }
  CHECK(clock.time == 18);
  clock.Advance(3);  // never runs backwards
  CHECK(clock.time == 18);
  const FlowTag idle;
  CHECK(idle.StartTag(clock.time) == 18);
}

TEST_CASE("LatencyEstimate: the service time of a unit converges to the latency per unit") {
  LatencyEstimate estimate;
  CHECK(estimate.unit_time() == kInitialUnitTime);
  Time now = kStart;
  for (int i = 0; i < 100; ++i, now += kSecond) {
    estimate.Record(10'000, 2, now);
  }
  CHECK(estimate.unit_time().count() == doctest::Approx(5'000).epsilon(0.01));
  CHECK(estimate.ServiceTime(3) == 3 * estimate.unit_time());
}

TEST_CASE("LatencyEstimate: one slow response raises the queueing delay, not the service time") {
  LatencyEstimate estimate;
  Time now = kStart;
  for (int i = 0; i < 100; ++i, now += kSecond) {
    estimate.Record(10'000, 2, now);
  }
  const Duration queueing = estimate.Record(110'000, 2, now);
  CHECK(queueing.count() == doctest::Approx(100'000).epsilon(0.05));
  CHECK(estimate.unit_time() < Microseconds(6'000));  // one slow response hardly raises it
  CHECK(estimate.queueing() > 0.7 * queueing);  // after a second without samples the newest one counts most
}

TEST_CASE("LatencyEstimate: without samples the queueing delay decays and becomes stale") {
  LatencyEstimate estimate;
  estimate.SetQueueing(Microseconds(200'000), kStart);
  CHECK(estimate.ExpectedQueueing(kStart) == Microseconds(200'000));
  const Duration later = estimate.ExpectedQueueing(kStart + kSecond / 2);
  CHECK(later.count() == doctest::Approx(200'000 * 0.3679).epsilon(0.001));
  CHECK_FALSE(estimate.IsStale(kStart + kSecond / 2));
  CHECK(estimate.IsStale(kStart + kSecond / 2 + 1));
  CHECK(estimate.SampleAge(kStart + kSecond) == Microseconds(kSecond));
}

TEST_CASE("LatencyEstimate: a long queue drains only as fast as time passes, and ResetQueueing clears it") {
  LatencyEstimate estimate;
  estimate.SetQueueing(Microseconds(5 * kSecond), kStart);
  CHECK(estimate.ExpectedQueueing(kStart + kSecond) == Microseconds(4 * kSecond));
  estimate.ResetQueueing();
  CHECK(estimate.ExpectedQueueing(kStart) == Duration::zero());
}

}  // namespace walnutspur::limits
