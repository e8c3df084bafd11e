// Tests the backoff of targets and the retry budget.
#include <doctest/doctest.h>

#include "limits/retry_budget.h"
#include "limits/target_backoff.h"

namespace walnutspur::limits {
namespace {

constexpr Time kMillisecond = 1'000;
constexpr Time kStart = 1'000'000 * kMillisecond;

}  // namespace

TEST_CASE("TargetBackoff: each consecutive overload doubles the backoff up to its maximum") {
  TargetBackoff backoff;
  CHECK(backoff.IsOver(kStart));
  for (const Time expected : {30, 60, 120, 240, 480, 960, 960}) {
    backoff.OnOverloaded(kStart);
    CHECK(backoff.ends_at() == kStart + expected * kMillisecond);
  }
  CHECK_FALSE(backoff.IsOver(kStart + 960 * kMillisecond - 1));
  CHECK(backoff.IsOver(kStart + 960 * kMillisecond));
}

TEST_CASE("TargetBackoff: each consecutive failed connect doubles the backoff, independent of overloads") {
  TargetBackoff backoff;
  backoff.OnOverloaded(kStart);
  for (const Time expected : {200, 400, 800, 1'600, 1'600}) {
    backoff.OnConnectFailed(kStart);
    CHECK(backoff.ends_at() == kStart + expected * kMillisecond);
  }
}

TEST_CASE(
    "TargetBackoff: a completed attempt resets the count of failures, a target's restart ends the backoff") {
  TargetBackoff backoff;
  for (int i = 0; i < 3; ++i) {
    backoff.OnConnectFailed(kStart);
  }
  backoff.OnCompleted();
  CHECK_FALSE(backoff.IsOver(kStart));
  backoff.OnTargetRestarted();
  CHECK(backoff.IsOver(kStart));
  backoff.OnConnectFailed(kStart);
  CHECK(backoff.ends_at() == kStart + 200 * kMillisecond);
  backoff.OnTargetRestarted();
  backoff.OnConnectFailed(kStart);  // the count of failures continues
  CHECK(backoff.ends_at() == kStart + 400 * kMillisecond);
}

TEST_CASE("RetryBudget: waiting retries count like sent ones") {
  Rules rules;
  rules.retry_budget_window = 100 * kMillisecond;
  rules.retry_budget_ratio = 0.5;
  rules.retry_budget_minimum = 1;
  RetryBudget budget;
  for (int i = 0; i < 4; ++i) {
    budget.OnArrival(rules, kStart);
  }
  CHECK(budget.Allows(rules, 2, kStart));
  CHECK_FALSE(budget.Allows(rules, 3, kStart));
  budget.OnRetrySent(rules, kStart);
  CHECK_FALSE(budget.Allows(rules, 2, kStart));
  CHECK(budget.table_entries() == 5);
  // The arrivals have left the window, so only the minimum is allowed; the retry at the window's edge uses it
  // up.
  CHECK_FALSE(budget.Allows(rules, 0, kStart + 100 * kMillisecond));
  CHECK(budget.Allows(rules, 0, kStart + 101 * kMillisecond));
  CHECK_FALSE(budget.Allows(rules, 1, kStart + 101 * kMillisecond));
}

TEST_CASE("RetryBudget: without a window in the settings, nothing is counted and every retry is allowed") {
  const Rules rules;
  RetryBudget budget;
  budget.OnArrival(rules, kStart);
  budget.OnRetrySent(rules, kStart);
  CHECK(budget.table_entries() == 0);
  CHECK(budget.Allows(rules, 1'000, kStart));
}

}  // namespace walnutspur::limits
