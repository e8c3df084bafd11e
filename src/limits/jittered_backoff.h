// Computes the delays before the retries of one caller: exponential backoff with jitter.
//
// Suppose a service handles calls one after another and each call times out after a fixed wait. Once calls
// arrive faster than the service responds, none completes, because each call times out before or while it is
// handled. The delay therefore doubles with each failure until all callers together are slow enough. It is
// drawn from a wide range, because callers that failed at the same time would otherwise also retry at the
// same time. No I/O, clock, thread or randomness: random draws are passed in.
#ifndef WALNUTSPUR_LIMITS_JITTERED_BACKOFF_H_
#define WALNUTSPUR_LIMITS_JITTERED_BACKOFF_H_

#include <algorithm>

#include "walnutspur/types.h"

namespace walnutspur::limits {

// Maximum number of doublings of a delay.
constexpr int kMaxBackoffDoublings = 30;
// The minimum delay, as a fraction of the maximum delay after the same number of failures.
constexpr double kMinDelayFraction = 0.25;

// Class JitteredBackoff counts the failures of one caller and computes the delay after each of them.
class JitteredBackoff {
 public:
  // `initial_delay` is the upper bound of the delay after the first failure, `max_delay` the upper bound of
  // any delay, us.
  JitteredBackoff(Time initial_delay, Time max_delay)
      : initial_delay_(initial_delay), max_delay_(max_delay) {}

  // Counts a failure and returns the delay before the next retry, us. `random` must be drawn uniformly from
  // [0, 1).
  Time NextDelay(double random) {
    const Time bound = std::min(max_delay_, initial_delay_ << std::min(failures_, kMaxBackoffDoublings));
    ++failures_;
    const auto upper_bound = static_cast<double>(bound);
    const double jitter = random * (1 - kMinDelayFraction) * upper_bound;
    return static_cast<Time>(kMinDelayFraction * upper_bound) + static_cast<Time>(jitter);
  }

  // Records a success: the next failure counts as the first.
  void Reset() { failures_ = 0; }

  // Replaces the bounds given at construction, us.
  void SetBounds(Time initial_delay, Time max_delay) {
    initial_delay_ = std::min(initial_delay, max_delay);
    max_delay_ = max_delay;
  }

 private:
  Time initial_delay_;
  Time max_delay_;
  int failures_ = 0;
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_JITTERED_BACKOFF_H_
