// Tests slow start, the steady-state rate, poll backoff and client abandonment.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

#include "limits/abandonment_estimate.h"
#include "limits/poll_backoff.h"
#include "limits/slow_start.h"
#include "limits/steady_state_rate.h"

namespace walnutspur::limits {
namespace {

constexpr Time kSecond = 1'000'000;
constexpr Time kStart = 1000 * kSecond;
constexpr Time kStep = 20'000;
constexpr Time kMaxDelay = 16 * kSecond;

const Settings kSettings = [] {
  Settings settings;
  settings.rules.slow_start_duration = 17 * kSecond;
  settings.rules.overload_window = 2 * kSecond;
  settings.rules.slow_start_fraction = 0.18;
  settings.rules.overload_threshold = 2;
  settings.slow_start_units = 11;
  settings.max_request_units = 6;
  settings.instances = 100;
  return settings;
}();

// Sends a request of `units` if it is admitted, and returns whether it was; assumes that one is always
// queued.
bool SendIfAdmitted(SlowStart& slow_start, double units, double demanded_rate, Time now) {
  const bool admitted = slow_start.Admits(kSettings, units, demanded_rate, now);
  if (admitted) {
    slow_start.OnSent(kSettings, units, now);
  }
  return admitted;
}

// Returns the units sent within ten seconds after the start.
double UnitsSent(double steady_rate, double demanded_rate) {
  SlowStart slow_start;
  slow_start.Start(kStart, kStart, steady_rate, 0);
  double units = 0;
  for (Time now = kStart; now < kStart + 10 * kSecond; now += kStep) {
    units += SendIfAdmitted(slow_start, 2, demanded_rate, now) ? 2 : 0;
  }
  return units;
}

// Simulates an endpoint list service that handles calls one after another, 66 ms each. A call times out after
// 2 s in the queue, but the service handles it all the same. Returns the number of instances, all of which
// call at the same moment, that have no list after `seconds`. `steady`: instances call again within 1 s
// instead of backing off.
int InstancesWithoutList(int instances, bool steady, int seconds) {
  std::vector<PollBackoff> backoffs(static_cast<std::size_t>(instances), PollBackoff(instances, kMaxDelay));
  std::multimap<Time, std::size_t> calls;
  for (std::size_t i = 0; i < backoffs.size(); ++i) {
    calls.emplace(0, i);
  }
  std::minstd_rand random(7);
  const auto draw = [&random] { return static_cast<double>(random() % 1000) / 1000; };
  Time busy_until = 0;
  for (; !calls.empty() && calls.begin()->first < seconds * kSecond; calls.erase(calls.begin())) {
    const auto [now, instance] = *calls.begin();
    backoffs[instance].OnPoll(now);
    busy_until = std::max(busy_until, now) + 66'000;
    if (busy_until - now <= 2 * kSecond) {
      continue;
    }
    const Time timed_out_at = now + 2 * kSecond;
    const Time backoff = backoffs[instance].NextDelay(timed_out_at, draw());
    const Time delay = steady ? kSecond / 2 + static_cast<Time>(draw() * kSecond / 2) : backoff;
    calls.emplace(timed_out_at + delay, instance);
  }
  return static_cast<int>(calls.size());
}

// The maximum of forty delays after polls that were rejected at once, and after polls that timed out.
struct MaxDelays {
  Time rejected = 0;
  Time timed_out = 0;
};

MaxDelays MeasureMaxDelays(int instances) {
  PollBackoff rejected(instances, kMaxDelay);
  PollBackoff timed_out(instances, kMaxDelay);
  MaxDelays max_delays;
  Time now = kStart;
  for (int i = 0; i < 40; ++i, now += 20 * kSecond) {
    rejected.OnPoll(now);
    timed_out.OnPoll(now);
    max_delays.rejected = std::max(max_delays.rejected, rejected.NextDelay(now + 1'000, 0.999));
    max_delays.timed_out = std::max(max_delays.timed_out, timed_out.NextDelay(now + 2 * kSecond, 0.999));
  }
  return max_delays;
}

}  // namespace

TEST_CASE("SteadyStateRate: the rate is constant while it is suspended") {
  SteadyStateRate suspended;
  SteadyStateRate measured;
  const Time end = kStart + 6 * kSecond;
  const Time later = end + 6 * kSecond;
  for (Time now = kStart; now < end; now += kSecond / 2) {
    suspended.Record(2, now);
    measured.Record(2, now);
  }
  suspended.Suspend(end);
  CHECK(suspended.Rate(end, kStart) == doctest::Approx(4).epsilon(0.1));
  CHECK(suspended.Rate(later, kStart) == suspended.Rate(end, kStart));
  CHECK(measured.Rate(later, kStart) < 0.7 * measured.Rate(end, kStart));
  suspended.Record(2, later);  // the gap does not count after responses resume either
  measured.Record(2, later);
  CHECK(suspended.Rate(later, kStart) > 1.2 * measured.Rate(later, kStart));
}

TEST_CASE("SlowStart: an instance sends more if demand exceeds its steady rate, and less without demand") {
  const double steady = UnitsSent(1, 1);
  CHECK(UnitsSent(0, 4.0 / 3) == doctest::Approx(steady).epsilon(0.2));
  CHECK(UnitsSent(1, 3) > 1.5 * steady);
  CHECK(UnitsSent(1, 0) < 0.6 * steady);
  CHECK(UnitsSent(0, 0) == 0);
}

TEST_CASE(
    "SlowStart: instances that together used a target's full capacity stay within the rule at any time") {
  std::vector<SlowStart> instances(40);  // one unit per second each; the target starts at minimum capacity
  for (std::size_t i = 0; i < instances.size(); ++i) {
    instances[i].Start(kStart, kStart, 1, static_cast<double>(i) / 40);
  }
  std::vector<Time> sent;
  for (Time now = kStart; now < kStart + 17 * kSecond; now += kStep) {
    for (SlowStart& instance : instances) {
      sent.insert(sent.end(), SendIfAdmitted(instance, 1, 0.5, now) ? 1 : 0, now);
    }
    const auto within = sent.end() - std::upper_bound(sent.begin(), sent.end(), now - 2 * kSecond);
    const double progress = static_cast<double>(now - kStart) / (17 * kSecond);
    REQUIRE(static_cast<double>(within) <= 2 * 40 * 2 * (0.18 + 0.82 * progress));
  }
}

TEST_CASE("SlowStart: a target is not limited after its slow start") {
  SlowStart recent;
  SlowStart old;
  recent.Start(kStart, kStart, 0, 0);
  old.Start(0, kStart, 0, 0);
  CHECK_FALSE(recent.Admits(kSettings, 6, 0, kStart + kSecond));
  CHECK(recent.Admits(kSettings, 6, 0, kStart + 17 * kSecond));
  CHECK(old.Admits(kSettings, 6, 0, kStart));
}

// Guards against a failure in a large fleet: 70 instances that were restarted together never received the
// list again.
TEST_CASE("PollBackoff: a hundred instances that poll at the same moment eventually receive the list") {
  CHECK(InstancesWithoutList(100, true, 25) >= 60);
  CHECK(InstancesWithoutList(100, false, 25) <= 5);
  CHECK(InstancesWithoutList(5, false, 3) == 0);
}

TEST_CASE("PollBackoff: the first retry of a poll rejected at once is early for any number of instances") {
  PollBackoff backoff(300, kMaxDelay);
  backoff.OnPoll(kStart);
  CHECK(backoff.NextDelay(kStart + 5'000, 0.99) <= kSecond);
  CHECK(backoff.NextDelay(kStart + 2 * kSecond, 0.99) > 10 * kSecond);
  for (int i = 0; i < 40; ++i) {
    CHECK(backoff.NextDelay(kStart, 0.99) <= kMaxDelay);
  }
  backoff.OnResponse();
  CHECK(backoff.NextDelay(kStart, 0.99) <= kSecond);
}

// Guards against a late reconnect: watches that received nothing after their first list were reopened only 4
// to 16 s later.
TEST_CASE(
    "PollBackoff: a subscription that ends after its response is renewed early for any number of instances") {
  for (const Time lasted : {kSecond, 4 * kSecond, 60 * kSecond}) {
    PollBackoff backoff(300, kMaxDelay);
    backoff.OnPoll(kStart);
    backoff.OnResponse();
    CHECK(backoff.NextDelay(kStart + lasted, 0.99) <= kSecond);
    CHECK(backoff.NextDelay(kStart + lasted + 3 * kSecond, 0.99) <=
          2 * kSecond);      // a second failure, rejected at once
    backoff.OnPoll(kStart);  // polls that time out are still spread
    CHECK(backoff.NextDelay(kStart + 2 * kSecond, 0.99) > 10 * kSecond);
  }
}

TEST_CASE(
    "PollBackoff, SlowStart: the fleet size bounds the poll delay, the traffic fraction the allowance") {
  PollBackoff backoff(300, kMaxDelay);
  backoff.SetInstanceCount(5);
  backoff.OnPoll(kStart);
  CHECK(backoff.NextDelay(kStart + 2 * kSecond, 0.99) <= kSecond);
  Settings half_traffic = kSettings;
  half_traffic.traffic_fraction = 0.5;
  SlowStart even;
  SlowStart half;
  even.Start(kStart, kStart, 0, 0);
  half.Start(kStart, kStart, 0, 0);
  CHECK_FALSE(even.Admits(kSettings, 2, 0, kStart + 2 * kSecond));  // a hundredth of the allowance
  CHECK(half.Admits(half_traffic, 2, 0, kStart + 2 * kSecond));
}

TEST_CASE("AbandonmentEstimate: a few early disconnects do not shorten the wait, however many are rejected") {
  AbandonmentEstimate bursts;
  AbandonmentEstimate all;
  AbandonmentEstimate none;
  Time now = kStart;
  for (int i = 0; i < 200; ++i, now += kSecond / 50) {
    // Of eight clients one disconnects early, five are rejected even earlier because of such disconnects, and
    // two have responses.
    const bool disconnects = i % 8 == 0;
    const double rejected_or_served = i % 8 <= 5 ? 0.02 : 0.3;
    bursts.Record(disconnects ? 0.04 : rejected_or_served, disconnects, now);
    all.Record(0.45, true, now);
    none.Record(1.5, false, now);
  }
  CHECK(bursts.SafeFraction(now) == 1);
  CHECK(all.SafeFraction(now) == doctest::Approx(0.45));
  CHECK(none.SafeFraction(now) == 1);
  CHECK(all.SafeFraction(now + 60 * kSecond) == 1);  // the disconnects have decayed
  for (int i = 0; i < 1'000; ++i) {
    all.Record(1.2, false, now);
  }
  CHECK(all.SafeFraction(now) == 1);
}

TEST_CASE("AbandonmentEstimate: if two of three clients disconnect at an age, the estimate is that age") {
  AbandonmentEstimate estimate;
  for (int i = 0; i < 100; ++i) {
    const bool disconnects = i % 3 != 0;
    estimate.Record(disconnects ? 0.25 : 0.9, disconnects, kStart);
  }
  CHECK(estimate.SafeFraction(kStart) == doctest::Approx(0.25));
}

// A change counts as announced 6 s after the service has it and is reachable; 2 s of these are for the call.
TEST_CASE(
    "PollBackoff: few instances retry within 2 s after any number of failures, many spread their polls") {
  for (const int instances : {1, 6, 20, 300}) {
    const MaxDelays max_delays = MeasureMaxDelays(instances);
    CHECK(max_delays.rejected <= (instances <= 20 ? 2 : 9) * kSecond);
    CHECK(max_delays.timed_out <= (instances <= 20 ? 2 : 16) * kSecond);
    // All instances together make at most 20 calls per second while calls time out.
    CHECK(max_delays.timed_out >= instances * kSecond / 20);
  }
}

}  // namespace walnutspur::limits
