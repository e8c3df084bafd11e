// Exponential backoff with jitter: the delays before the retries of one caller.
//
// A service that handles calls in turn and times each out after a fixed wait completes none once calls arrive
// faster than it responds: the next in turn times out while it is handled. So the delay doubles with each
// failure until all callers together are slow enough, and is drawn from a wide range, since callers that
// failed together would otherwise return together. No I/O, clock, thread or randomness: draws are passed in.
#ifndef WALNUTSPUR_LIMITS_JITTERED_BACKOFF_H_
#define WALNUTSPUR_LIMITS_JITTERED_BACKOFF_H_

#include <algorithm>

#include "walnutspur/types.h"

namespace walnutspur::limits {

// Doublings after which a delay no longer grows.
constexpr int kMaxBackoffDoublings = 30;
// The shortest delay, as a fraction of the longest one after the same number of failures.
constexpr double kMinDelayFraction = 0.25;

// Delays before the retries of one caller.
class JitteredBackoff {
 public:
  // The longest delay after the first failure, and after any, us.
  JitteredBackoff(Time initial_delay, Time max_delay)
      : initial_delay_(initial_delay), max_delay_(max_delay) {}

  // Counts a failure and returns the delay after it, us. `random` is drawn evenly from [0, 1).
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
