// Retry budget: how many retries an instance may send for the requests that it receives.
//
// Without it, retries multiply the load of a fault by the number of attempts, and a pool that is overloaded
// stays so. The settings state a window and a ratio; within any window, retries are at most a minimum plus
// the ratio times the requests that arrived. Retries that wait in a queue count as sent. No I/O, clock or
// thread; owned by the scheduler's state.
#ifndef WALNUTSPUR_LIMITS_RETRY_BUDGET_H_
#define WALNUTSPUR_LIMITS_RETRY_BUDGET_H_

#include <cstddef>

#include "limits/sliding_window.h"
#include "walnutspur/settings.h"

namespace walnutspur::limits {

// Arrivals and retries within the settings' window. Without a window in the settings nothing is counted, and
// without a window or a ratio every retry is allowed.
class RetryBudget {
 public:
  // Records that a request arrived at `now`.
  void OnArrival(const Rules& rules, Time now);

  // Records that a retry was sent at `now`.
  void OnRetrySent(const Rules& rules, Time now);

  // Whether the settings limit retries at all.
  static bool IsLimited(const Rules& rules);

  // Whether one more retry may be queued or sent at `now`, beside `waiting` that are queued already.
  bool Allows(const Rules& rules, std::size_t waiting, Time now);

  // Number of retries counted.
  std::size_t retry_count() const { return retries_.count(); }

  // Number of entries held.
  std::size_t table_entries() const { return arrivals_.count() + retries_.count(); }

 private:
  SlidingWindow arrivals_;
  SlidingWindow retries_;
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_RETRY_BUDGET_H_
