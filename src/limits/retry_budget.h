// Limits the retries that an instance sends in proportion to the requests that it receives.
//
// Without a limit, retries during a fault multiply the load by the number of attempts, and an overloaded pool
// of targets stays overloaded. The settings state a window, a ratio and a minimum: within any window there
// are at most `minimum + ratio * arrivals` retries. Retries that wait in a queue count as sent. No I/O, clock
// or thread; owned by the scheduler's state.
#ifndef WALNUTSPUR_LIMITS_RETRY_BUDGET_H_
#define WALNUTSPUR_LIMITS_RETRY_BUDGET_H_

#include <cstddef>

#include "limits/sliding_window.h"
#include "walnutspur/settings.h"

namespace walnutspur::limits {

// Class RetryBudget counts arrivals and retries within the window. Without a window in the settings nothing
// is counted; without a window or a ratio every retry is allowed.
class RetryBudget {
 public:
  // Records that a request arrived at `now`.
  void OnArrival(const Rules& rules, Time now);

  // Records that a retry was sent at `now`.
  void OnRetrySent(const Rules& rules, Time now);

  // Returns whether the settings limit retries.
  static bool IsLimited(const Rules& rules);

  // Returns whether one more retry may be queued or sent at `now` while `waiting` retries are queued.
  bool Allows(const Rules& rules, std::size_t waiting, Time now);

  // Returns the number of retries counted.
  std::size_t retry_count() const { return retries_.count(); }

  // Returns the number of entries held.
  std::size_t table_entries() const { return arrivals_.count() + retries_.count(); }

 private:
  SlidingWindow arrivals_;
  SlidingWindow retries_;
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_RETRY_BUDGET_H_
