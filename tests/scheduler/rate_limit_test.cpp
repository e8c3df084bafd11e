// Tests of the rate limits of plans and of the retry budget.
#include <gtest/gtest.h>

#include "scheduler_fixture.h"

namespace walnutspur::test {
namespace {

// Returns the units sent within `span` under constant excess load on the rate-limited plan.
double UnitsSentOver(SchedulerFixture& scheduler, int initiator_count, Time span) {
  double units = 0;
  int next_id = 0;
  for (Time t = 0; t < span; t += 20 * kMs) {
    scheduler.ClearActions();
    for (int i = 0; i < 4; ++i) {
      RequestArrived request = SchedulerFixture::MakeRequest("l" + std::to_string(next_id++), 0);
      request.plan = 1;
      request.initiator_count = initiator_count;
      scheduler.Handle(request);
    }
    scheduler.Advance(20 * kMs);
    const std::vector<SendAttempt> sends = scheduler.ActionsOf<SendAttempt>();
    units += 2.0 * static_cast<double>(sends.size());
    for (const SendAttempt& attempt : sends) {
      scheduler.FinishAttempt(attempt.id, Outcome::kCompleted, 15 * kMs);
    }
  }
  return units;
}

// Fails each attempt of the request until no further attempt is sent.
void FailAllAttempts(SchedulerFixture& scheduler, const std::string& id) {
  for (int attempt = 0; attempt < 4 && scheduler.SendCount(id) > attempt; ++attempt) {
    scheduler.FinishAttempt(id, Outcome::kErrored, kMs, attempt);
  }
}

TEST(RateLimit, InstanceSendsItsEvenShareOfTheRate) {
  SchedulerFixture scheduler;
  scheduler.SetTargets(1);
  const double units = UnitsSentOver(scheduler, 2, 4 * kSec);
  EXPECT_LE(units, 20.0 / 2 * 4 + 2);
  EXPECT_GE(units, 20.0 / 2 * 4 * 0.8);
}

TEST(RateLimit, RestartedInstanceDoesNotSpendTheBurstAgain) {
  double units = 0;
  for (int restart = 0; restart < 5; ++restart) {
    SchedulerFixture scheduler;
    scheduler.SetTargets(1);
    units += UnitsSentOver(scheduler, 1, 200 * kMs);
  }
  EXPECT_LE(units, 20 * 1.0 + 2);
}

TEST(RateLimit, IdleBucketHoldsAtMostItsShareOfTheBurst) {
  SchedulerFixture scheduler;
  scheduler.SetTargets(1);
  scheduler.Advance(60 * kSec);
  EXPECT_LE(UnitsSentOver(scheduler, 2, 100 * kMs), 24.0 / 2 + 20.0 / 2 * 0.1 + 2);
}

TEST(RetryBudget, RetriesStayWithinTheBudgetOfTheSlidingWindow) {
  Settings settings = BasicSettings();
  settings.rules.retry_budget_window = 5 * kSec;
  settings.rules.retry_budget_ratio = 0.25;
  settings.rules.retry_budget_minimum = 3;
  SchedulerFixture scheduler(settings);
  scheduler.SetTargets(1);
  for (int i = 0; i < 40; ++i) {
    const std::string id = "r" + std::to_string(i);
    scheduler.Handle(SchedulerFixture::MakeRequest(id));
    FailAllAttempts(scheduler, id);
    const int retries = static_cast<int>(scheduler.ActionsOf<SendAttempt>().size()) - (i + 1);
    EXPECT_LE(retries, 3 + 0.25 * (i + 1)) << i;
  }
  EXPECT_GE(scheduler.ActionsOf<SendAttempt>().size(), 50u);  // the budget is used
  scheduler.ClearActions();
  scheduler.Advance(6 * kSec);  // the arrivals are no longer in the window
  scheduler.Handle(SchedulerFixture::MakeRequest("x"));
  FailAllAttempts(scheduler, "x");
  scheduler.Handle(SchedulerFixture::MakeRequest("y"));
  FailAllAttempts(scheduler, "y");
  EXPECT_LE(int(scheduler.ActionsOf<SendAttempt>().size()) - 2, 3);
}

TEST(RetryBudget, IsUnlimitedWithoutItsSettings) {
  SchedulerFixture scheduler;
  scheduler.SetTargets(1);
  for (int i = 0; i < 10; ++i) {
    const std::string id = "r" + std::to_string(i);
    scheduler.Handle(SchedulerFixture::MakeRequest(id));
    FailAllAttempts(scheduler, id);
  }
  EXPECT_EQ(scheduler.ActionsOf<SendAttempt>().size(), 40u);
}

}  // namespace
}  // namespace walnutspur::test
