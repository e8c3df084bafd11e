#include "limits/retry_budget.h"

namespace walnutspur::limits {

void RetryBudget::OnArrival(const Rules& rules, Time now) {
  if (rules.retry_budget_window) {
    arrivals_.Add(now);
  }
}

void RetryBudget::OnRetrySent(const Rules& rules, Time now) {
  if (rules.retry_budget_window) {
    retries_.Add(now);
  }
}

bool RetryBudget::IsLimited(const Rules& rules) {
  return rules.retry_budget_window && rules.retry_budget_ratio;
}

bool RetryBudget::Allows(const Rules& rules, std::size_t waiting, Time now) {
  if (!IsLimited(rules)) {
    return true;
  }
  const Time window_start = now - *rules.retry_budget_window;
  arrivals_.ExpireThrough(window_start);
  retries_.ExpireThrough(window_start - 1);
  const double allowed =
      rules.retry_budget_minimum + *rules.retry_budget_ratio * static_cast<double>(arrivals_.count());
  return static_cast<double>(retries_.count() + waiting + 1) <= allowed;
}

}  // namespace walnutspur::limits
