// Tests the budget of background jobs: its maximum and minimum rates, the slowdown under pressure, and the
// recovery.
#include "background/budget.h"

#include <doctest/doctest.h>

#include <map>
#include <vector>

namespace walnutspur::background {
namespace {

constexpr Time kSec = 1'000'000;
const LoadReport kCalm{0, 0.1};
const LoadReport kBusy{0.1, 0.1};

// Runs jobs that always have work to do for `seconds`; each request takes `latency` microseconds. Returns the
// number of requests started in each second.
std::vector<int> RunJob(Budget& budget, Time from, int seconds, const std::vector<LoadReport>& reports,
                        Time latency = 1000) {
  std::vector<int> started(static_cast<std::size_t>(seconds));
  std::multimap<Time, JobId> running;
  for (Time now = from; now < from + seconds * kSec; now += 1000) {
    const auto second = static_cast<std::size_t>((now - from) / kSec);
    if ((now - from) % (kSec / 4) == 0) {
      budget.AddReport(reports[second % reports.size()], now);
    }
    while (!running.empty() && running.begin()->first <= now) {
      budget.Complete(running.begin()->second, 1, 4096, now);
      running.erase(running.begin());
    }
    while (const auto job = budget.GrantNext(now)) {
      ++started[second];
      running.emplace(now + latency, *job);
    }
  }
  while (!running.empty()) {
    budget.Complete(running.begin()->second, 1, 4096, from + seconds * kSec);
    running.erase(running.begin());
  }
  return started;
}

// Returns options for at most 100 and at least 2 requests per second, of 4 KiB each.
JobOptions BasicJob() {
  JobOptions options;
  options.max_requests_per_second = 100;
  options.max_bytes_per_second = 100e6;
  options.mean_request_bytes = 4096;
  options.min_requests_per_second = 2;
  return options;
}

TEST_CASE("Budget: under pressure the rate falls to its minimum within one report, then recovers slowly") {
  Budget budget;
  budget.Add(BasicJob(), {}, 0);
  const auto calm = RunJob(budget, 0, 8, {kCalm});
  CHECK(calm[7] >= 85);  // below 100, since the budget is polled once per millisecond
  CHECK(calm[7] <= 101);
  const auto busy = RunJob(budget, 8 * kSec, 4, {kBusy});
  CHECK(busy[0] <= 3);
  for (const int started : busy) {
    CHECK(started >= 1);
  }
  CHECK(busy[1] + busy[2] + busy[3] >= 6);  // the minimum rate is kept
  CHECK(busy[1] + busy[2] + busy[3] <= 7);
  const auto after = RunJob(budget, 12 * kSec, 6, {kCalm});
  CHECK(after[0] < 20);
  CHECK(after[0] < after[2]);
  CHECK(after[5] >= 85);
}

TEST_CASE("Budget: a suspended budget and a paused job start no requests, not even at the minimum rate") {
  Budget budget;
  const JobId job = budget.Add(BasicJob(), {}, 0);
  budget.Suspend(true);
  CHECK(RunJob(budget, 0, 2, {kCalm}) == std::vector<int>{0, 0});
  CHECK_FALSE(budget.NextGrantTime(2 * kSec));
  budget.Suspend(false);
  budget.Pause(job);
  CHECK(RunJob(budget, 2 * kSec, 1, {kCalm}) == std::vector<int>{0});
  budget.Resume(job, 3 * kSec);
  CHECK(RunJob(budget, 3 * kSec, 1, {kCalm})[0] > 0);
}

TEST_CASE("Budget: requests in flight and bytes per second are bounded") {
  Budget budget;
  JobOptions options = BasicJob();
  options.max_in_flight = 3;
  const JobId job = budget.Add(options, {}, 0);
  for (int i = 0; i < 100; ++i) {
    budget.AddReport(kCalm, i);
  }
  int started = 0;
  for (Time now = 0; now < kSec; now += 1000) {
    started += budget.GrantNext(now).has_value() ? 1 : 0;
  }
  CHECK(started == 3);
  CHECK(budget.in_flight(job) == 3);
  for (int i = 0; i < 3; ++i) {
    budget.Complete(job, 1, 50'000'000, kSec);  // 150 MB at 100 MB/s
  }
  CHECK_FALSE(budget.GrantNext(kSec));
  REQUIRE(budget.NextGrantTime(kSec));
  CHECK(*budget.NextGrantTime(kSec) == kSec + kSec * 3 / 2);
  CHECK(budget.GrantNext(kSec + kSec * 3 / 2));
}

TEST_CASE("Budget: the job of higher priority goes first, and returned or failed requests are not counted") {
  Budget budget;
  JobOptions high = BasicJob();
  JobOptions low = BasicJob();
  high.priority = 1;
  high.max_in_flight = 1;
  low.max_in_flight = 1;
  const JobId low_job = budget.Add(low, {}, 0);
  const JobId high_job = budget.Add(high, {}, 0);
  CHECK(budget.GrantNext(0) == high_job);
  CHECK(budget.GrantNext(0) == low_job);
  budget.ReturnGrant(high_job);
  CHECK(budget.in_flight(high_job) == 0);
  CHECK(budget.GrantNext(0) == high_job);  // the returned request was not counted
  budget.Complete(high_job, 0, 0, 1);      // failed: the cursor does not advance
  CHECK(budget.progress(high_job).position == 0);
}

TEST_CASE("Budget: with a target duration, a job runs only as fast as needed, ends in time and restarts") {
  Budget budget;
  JobOptions options = BasicJob();
  options.goal = 60 * kSec;
  options.min_requests_per_second = 0.5;
  Progress progress;
  progress.total = 600;
  const JobId job = budget.Add(options, progress, 1);
  RunJob(budget, 1, 5, {kCalm});
  const auto started = RunJob(budget, 5 * kSec + 1, 10, {kCalm});
  CHECK(started[5] >= 10);  // 600 requests in 60 s, plus a fifth
  CHECK(started[5] <= 16);
  RunJob(budget, 15 * kSec + 1, 45, {kCalm});
  CHECK(budget.progress(job).rounds == 1);
}

TEST_CASE("Pressure: without recent reports the speed is halved") {
  Pressure pressure;
  for (int i = 0; i < 40; ++i) {
    pressure.AddReport(kCalm, i);
  }
  CHECK(pressure.Speed(40) == doctest::Approx(1));
  CHECK(pressure.Speed(10 * kSec) == doctest::Approx(0.5));
}

}  // namespace
}  // namespace walnutspur::background
