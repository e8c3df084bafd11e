// Backoff of targets, and the retry budget.
#include <doctest/doctest.h>

#include "limits/retry_budget.h"
#include "limits/target_backoff.h"

namespace walnutspur::limits {
namespace {

constexpr Time kMillisecond = 1'000;
constexpr Time kStart = 1'000'000 * kMillisecond;

}  // namespace

TEST_CASE("each overload in turn doubles a target's backoff, up to a bound") {
  TargetBackoff backoff;
  CHECK(backoff.IsOver(kStart));
  for (const Time expected : {30, 60, 120, 240, 480, 960, 960}) {
    backoff.OnOverloaded(kStart);
    CHECK(backoff.ends_at() == kStart + expected * kMillisecond);
  }
  CHECK_FALSE(backoff.IsOver(kStart + 960 * kMillisecond - 1));
  CHECK(backoff.IsOver(kStart + 960 * kMillisecond));
}

TEST_CASE("each failed connect in turn doubles a target's backoff, apart from its overloads") {
  TargetBackoff backoff;
  backoff.OnOverloaded(kStart);
  for (const Time expected : {200, 400, 800, 1'600, 1'600}) {
    backoff.OnConnectFailed(kStart);
    CHECK(backoff.ends_at() == kStart + expected * kMillisecond);
  }
}

TEST_CASE("a completed attempt ends the series of failures, a restart of the target the backoff") {
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
  backoff.OnConnectFailed(kStart);  // the series goes on
  CHECK(backoff.ends_at() == kStart + 400 * kMillisecond);
}

TEST_CASE("retries that wait count against the retry budget like those sent") {
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
  // The arrivals leave the window; the minimum is left, which the retry at the window's edge still uses up.
  CHECK_FALSE(budget.Allows(rules, 0, kStart + 100 * kMillisecond));
  CHECK(budget.Allows(rules, 0, kStart + 101 * kMillisecond));
  CHECK_FALSE(budget.Allows(rules, 1, kStart + 101 * kMillisecond));
}

TEST_CASE("without a window in the settings the retry budget counts nothing and allows every retry") {
  const Rules rules;
  RetryBudget budget;
  budget.OnArrival(rules, kStart);
  budget.OnRetrySent(rules, kStart);
  CHECK(budget.table_entries() == 0);
  CHECK(budget.Allows(rules, 1'000, kStart));
}

}  // namespace walnutspur::limits
