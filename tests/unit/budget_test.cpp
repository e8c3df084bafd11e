// Background work: budgets kept, floors kept, steps aside within one report, comes back slowly.
#include "background/budget.h"

#include <doctest/doctest.h>

#include <map>
#include <vector>

namespace walnutspur::background {
namespace {

constexpr Time kSecond = 1'000'000;
const Report kCalm{0, 0, 0.1}, kBusy{0.1, 0, 0.1};

// Plays a job that always has work, each request taking `takes`; requests begun in each second.
std::vector<int> Play(Budget& budget, Time from, int seconds, const std::vector<Report>& reports,
                      Time takes = 1000) {
  std::vector<int> begun(static_cast<std::size_t>(seconds));
  std::multimap<Time, JobId> running;
  for (Time now = from; now < from + seconds * kSecond; now += 1000) {
    const auto second = static_cast<std::size_t>((now - from) / kSecond);
    if ((now - from) % (kSecond / 4) == 0) budget.Take(reports[second % reports.size()], now);
    while (!running.empty() && running.begin()->first <= now) {
      budget.Done(running.begin()->second, 1, 4096, now);
      running.erase(running.begin());
    }
    while (const auto job = budget.Next(now)) {
      ++begun[second];
      running.emplace(now + takes, *job);
    }
  }
  while (!running.empty()) {
    budget.Done(running.begin()->second, 1, 4096, from + seconds * kSecond);
    running.erase(running.begin());
  }
  return begun;
}

JobOptions Usual() {
  JobOptions options;
  options.requests_a_second = 100;
  options.bytes_a_second = 100e6;
  options.mean_request_bytes = 4096;
  options.floor_a_second = 2;
  return options;
}

TEST_CASE("under pressure it falls to its floor within one report, and comes back slowly") {
  Budget budget;
  budget.Add(Usual(), {}, 0);
  const auto calm = Play(budget, 0, 8, {kCalm});
  CHECK(calm[7] >= 85);  // looked at each millisecond only
  CHECK(calm[7] <= 101);
  const auto busy = Play(budget, 8 * kSecond, 4, {kBusy});
  CHECK(busy[0] <= 3);
  for (const int n : busy) CHECK(n >= 1);
  CHECK(busy[1] + busy[2] + busy[3] >= 6);  // the floor is kept
  CHECK(busy[1] + busy[2] + busy[3] <= 7);
  const auto after = Play(budget, 12 * kSecond, 6, {kCalm});
  CHECK(after[0] < 20);
  CHECK(after[0] < after[2]);
  CHECK(after[5] >= 85);
}

TEST_CASE("a box that takes nothing gets nothing, not even the floor; a paused job neither") {
  Budget budget;
  const JobId job = budget.Add(Usual(), {}, 0);
  budget.Hold(true);
  CHECK(Play(budget, 0, 2, {kCalm}) == std::vector<int>{0, 0});
  CHECK_FALSE(budget.NextAt(2 * kSecond));
  budget.Hold(false);
  budget.Pause(job);
  CHECK(Play(budget, 2 * kSecond, 1, {kCalm}) == std::vector<int>{0});
  budget.Resume(job, 3 * kSecond);
  CHECK(Play(budget, 3 * kSecond, 1, {kCalm})[0] > 0);
}

TEST_CASE("requests in flight and bytes are bounded") {
  Budget budget;
  JobOptions options = Usual();
  options.in_flight = 3;
  const JobId job = budget.Add(options, {}, 0);
  for (int i = 0; i < 100; ++i) budget.Take(kCalm, i);
  int begun = 0;
  for (Time now = 0; now < kSecond; now += 1000) begun += budget.Next(now).has_value();
  CHECK(begun == 3);
  CHECK(budget.in_flight(job) == 3);
  for (int i = 0; i < 3; ++i) budget.Done(job, 1, 50'000'000, kSecond);  // 150 MB at 100 MB/s
  CHECK_FALSE(budget.Next(kSecond));
  REQUIRE(budget.NextAt(kSecond));
  CHECK(*budget.NextAt(kSecond) == kSecond + kSecond * 3 / 2);
  CHECK(budget.Next(kSecond + kSecond * 3 / 2));
}

TEST_CASE("the higher priority goes first, equals share, and what is not done is not counted") {
  Budget budget;
  JobOptions high = Usual(), low = Usual();
  high.priority = 1;
  high.in_flight = 1;
  low.in_flight = 1;
  const JobId b = budget.Add(low, {}, 0), a = budget.Add(high, {}, 0);
  CHECK(budget.Next(0) == a);
  CHECK(budget.Next(0) == b);
  budget.Return(a);
  CHECK(budget.in_flight(a) == 0);
  CHECK(budget.Next(0) == a);  // its turn was not used up
  budget.Done(a, 0, 0, 1);     // failed: the cursor stands
  CHECK(budget.progress(a).position == 0);
}

TEST_CASE("with a wish it goes no faster than the wish needs, and a round ends in time and begins anew") {
  Budget budget;
  JobOptions options = Usual();
  options.wish = 60 * kSecond;
  options.floor_a_second = 0.5;
  Progress progress;
  progress.total = 600;
  const JobId job = budget.Add(options, progress, 1);
  Play(budget, 1, 5, {kCalm});
  const auto begun = Play(budget, 5 * kSecond + 1, 10, {kCalm});
  CHECK(begun[5] >= 10);  // 600 in 60 s, and a fifth ahead
  CHECK(begun[5] <= 16);
  Play(budget, 15 * kSecond + 1, 45, {kCalm});
  CHECK(budget.progress(job).rounds == 1);
}

TEST_CASE("without news it halves its speed rather than trusting an old report") {
  Pressure pressure;
  for (int i = 0; i < 40; ++i) pressure.Take(kCalm, i);
  CHECK(pressure.Speed(40) == doctest::Approx(1));
  CHECK(pressure.Speed(10 * kSecond) == doctest::Approx(0.5));
}

}  // namespace
}  // namespace walnutspur::background
