// What a host may send to a cold box, and when hosts that failed together ask one service again.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

#include "limits/abandonment_estimate.h"
#include "limits/backoff.h"
#include "limits/slow_start.h"

namespace walnutspur::limits {
namespace {

constexpr Time kSecond = 1'000'000, kStart = 1000 * kSecond, kStep = 20'000;

const Settings kSettings = [] {
  Settings s;
  s.rules.slow_start_duration = 17 * kSecond, s.rules.overload_window = 2 * kSecond;
  s.rules.slow_start_fraction = 0.18, s.rules.overload_threshold = 2;
  s.slow_start_units = 11, s.max_request_units = 6, s.instances = 100;
  return s;
}();

// Whether a request left; one always waits.
bool Leaves(SlowStart& cold, double units, double demand, Time now) {
  const bool room = cold.Admits(kSettings, units, demand, now);
  if (room) cold.OnSent(kSettings, units, now);
  return room;
}

// Units that leave within ten seconds after the start.
double Sent(double usual, double demand) {
  SlowStart cold;
  cold.Start(kStart, kStart, usual, 0);
  double sent = 0;
  for (Time now = kStart; now < kStart + 10 * kSecond; now += kStep) sent += 2 * Leaves(cold, 2, demand, now);
  return sent;
}

}  // namespace

TEST_CASE("what a box served counts as of before it fell silent") {
  SteadyStateRate lost, kept;
  const Time end = kStart + 6 * kSecond, later = end + 6 * kSecond;
  for (Time now = kStart; now < end; now += kSecond / 2) lost.Record(2, now), kept.Record(2, now);
  lost.Suspend(end);
  CHECK(lost.Rate(end, kStart) == doctest::Approx(4).epsilon(0.1));
  CHECK(lost.Rate(later, kStart) == lost.Rate(end, kStart));
  CHECK(kept.Rate(later, kStart) < 0.7 * kept.Rate(end, kStart));
  lost.Record(2, later), kept.Record(2, later);  // nor does the gap count once it serves again
  CHECK(lost.Rate(later, kStart) > 1.2 * kept.Rate(later, kStart));
}

TEST_CASE("a host sends more where it is asked for more than it was served, and less where for nothing") {
  const double own = Sent(1, 1);
  CHECK(Sent(0, 4.0 / 3) == doctest::Approx(own).epsilon(0.2));
  CHECK(Sent(1, 3) > 1.5 * own);
  CHECK(Sent(1, 0) < 0.6 * own);
  CHECK(Sent(0, 0) == 0);
}

TEST_CASE("hosts that were served all a box can do stay within the rule at any moment") {
  std::vector<SlowStart> hosts(40);  // of one unit a second each; the box starts with the least
  for (std::size_t i = 0; i < hosts.size(); ++i) hosts[i].Start(kStart, kStart, 1, double(i) / 40);
  std::vector<Time> left;
  for (Time now = kStart; now < kStart + 17 * kSecond; now += kStep) {
    for (SlowStart& host : hosts) left.insert(left.end(), Leaves(host, 1, 0.5, now), now);
    const auto within = left.end() - std::upper_bound(left.begin(), left.end(), now - 2 * kSecond);
    REQUIRE(double(within) <= 2 * 40 * 2 * (0.18 + 0.82 * double(now - kStart) / (17 * kSecond)));
  }
}

TEST_CASE("a warm box is not held back") {
  SlowStart cold, old;
  cold.Start(kStart, kStart, 0, 0), old.Start(0, kStart, 0, 0);
  CHECK_FALSE(cold.Admits(kSettings, 6, 0, kStart + kSecond));
  CHECK(cold.Admits(kSettings, 6, 0, kStart + 17 * kSecond));
  CHECK(old.Admits(kSettings, 6, 0, kStart));
}

// A service that takes calls in turn, each 66 ms of work, fails what has waited for 2 s and works it off all
// the same. How many hosts that all call at once have no list after `seconds`; `steady`: all try again within
// 1 s.
static int WithoutList(int hosts, bool steady, int seconds) {
  std::vector<PollBackoff> calls(static_cast<std::size_t>(hosts), PollBackoff(hosts, 16 * kSecond));
  std::multimap<Time, std::size_t> due;
  for (std::size_t i = 0; i < calls.size(); ++i) due.emplace(0, i);
  std::minstd_rand random(7);
  const auto draw = [&random] { return double(random() % 1000) / 1000; };
  for (Time busy = 0; !due.empty() && due.begin()->first < seconds * kSecond; due.erase(due.begin())) {
    const auto [now, host] = *due.begin();
    calls[host].OnPoll(now);
    busy = std::max(busy, now) + 66'000;
    if (busy - now <= 2 * kSecond) continue;
    const Time gap = calls[host].NextDelay(now + 2 * kSecond, draw());
    due.emplace(now + 2 * kSecond + (steady ? kSecond / 2 + Time(draw() * kSecond / 2) : gap), host);
  }
  return static_cast<int>(due.size());
}

// herd+vast: of 70 hosts that were restarted together none ever heard of the list again.
TEST_CASE("a hundred hosts that call one service at the same moment all get through in the end") {
  CHECK(WithoutList(100, true, 25) >= 60);
  CHECK(WithoutList(100, false, 25) <= 5);
  CHECK(WithoutList(5, false, 3) == 0);
}

TEST_CASE("a call that was refused at once is made again soon, at first, whatever the number of hosts") {
  PollBackoff calls(300, 16 * kSecond);
  calls.OnPoll(kStart);
  CHECK(calls.NextDelay(kStart + 5'000, 0.99) <= kSecond);
  CHECK(calls.NextDelay(kStart + 2 * kSecond, 0.99) > 10 * kSecond);
  for (int i = 0; i < 40; ++i) CHECK(calls.NextDelay(kStart, 0.99) <= 16 * kSecond);
  calls.OnResponse();
  CHECK(calls.NextDelay(kStart, 0.99) <= kSecond);
}

// join+mass: watches that fell silent right after their first list were asked for again 4 to 16 s later.
TEST_CASE(
    "a subscription that breaks soon after its answer is asked for again soon, among any number of hosts") {
  for (const Time lasted : {kSecond, 4 * kSecond, 60 * kSecond}) {
    PollBackoff calls(300, 16 * kSecond);
    calls.OnPoll(kStart);
    calls.OnResponse();
    CHECK(calls.NextDelay(kStart + lasted, 0.99) <= kSecond);
    CHECK(calls.NextDelay(kStart + lasted + 3 * kSecond, 0.99) <= 2 * kSecond);  // and again, refused at once
    calls.OnPoll(kStart);  // one that waits in vain is still spread
    CHECK(calls.NextDelay(kStart + 2 * kSecond, 0.99) > 10 * kSecond);
  }
}

TEST_CASE(
    "where the fleet is known, its size sets the pace of asks and this host's part what a cold box may get") {
  PollBackoff calls(300, 16 * kSecond);
  calls.SetInstanceCount(5);
  calls.OnPoll(kStart);
  CHECK(calls.NextDelay(kStart + 2 * kSecond, 0.99) <= kSecond);
  Settings known = kSettings;
  known.traffic_fraction = 0.5;
  SlowStart even, half;
  even.Start(kStart, kStart, 0, 0), half.Start(kStart, kStart, 0, 0);
  CHECK_FALSE(even.Admits(kSettings, 2, 0, kStart + 2 * kSecond));  // a hundredth
  CHECK(half.Admits(known, 2, 0, kStart + 2 * kSecond));
}

TEST_CASE("clients that leave at random do not make all work late, however many were refused before") {
  AbandonmentEstimate bursts, all, none;
  Time now = kStart;
  for (int i = 0; i < 200; ++i, now += kSecond / 50) {
    // One in eight leaves, soon; five are refused sooner than that, for their sake; two are answered.
    bursts.Record(i % 8 == 0 ? 0.04 : i % 8 <= 5 ? 0.02 : 0.3, i % 8 == 0, now);
    all.Record(0.45, true, now);
    none.Record(1.5, false, now);
  }
  CHECK(bursts.SafeFraction(now) == 1);
  CHECK(all.SafeFraction(now) == doctest::Approx(0.45));
  CHECK(none.SafeFraction(now) == 1);
  CHECK(all.SafeFraction(now + 60 * kSecond) == 1);  // it was long ago
  for (int i = 0; i < 1'000; ++i) all.Record(1.2, false, now);
  CHECK(all.SafeFraction(now) == 1);
}

TEST_CASE("two of three clients leave at an age: work has to be done by then, though the others would stay") {
  AbandonmentEstimate most;
  for (int i = 0; i < 100; ++i) most.Record(i % 3 ? 0.25 : 0.9, i % 3, kStart);
  CHECK(most.SafeFraction(kStart) == doctest::Approx(0.25));
}

// A change counts as told 6 s after discovery had it and could be reached: 2 s of it are for the call itself.
TEST_CASE(
    "few hosts ask again within 2 s however often calls failed; many spread over what discovery can bear") {
  for (const int hosts : {1, 6, 20, 300}) {
    PollBackoff refused(hosts, 16 * kSecond), waited(hosts, 16 * kSecond);
    Time longest_refused = 0, longest_waited = 0, now = kStart;
    for (int i = 0; i < 40; ++i, now += 20 * kSecond) {
      refused.OnPoll(now), waited.OnPoll(now);
      longest_refused = std::max(longest_refused, refused.NextDelay(now + 1'000, 0.999));
      longest_waited = std::max(longest_waited, waited.NextDelay(now + 2 * kSecond, 0.999));
    }
    CHECK(longest_refused <= (hosts <= 20 ? 2 : 9) * kSecond);
    CHECK(longest_waited <= (hosts <= 20 ? 2 : 16) * kSecond);
    CHECK(longest_waited >=
          hosts * kSecond / 20);  // 20 calls a second from all at most, while they wait in vain
  }
}

}  // namespace walnutspur::limits
