// A sum that decays exponentially with time. No I/O, clock or thread: the caller passes the time to each
// call.
#ifndef WALNUTSPUR_LIMITS_DECAYING_COUNTER_H_
#define WALNUTSPUR_LIMITS_DECAYING_COUNTER_H_

#include <algorithm>
#include <cmath>

#include "limits/duration.h"

namespace walnutspur::limits {

// Maximum exponent of a decay; beyond it the remaining sum is negligible.
constexpr double kMaxDecay = 20.0;

// A decaying sum. Times passed to it never decrease.
struct DecayingCounter {
  double sum = 0;  // as of changed_at
  Time changed_at = 0;

  // Returns the decayed sum at `now`; `decay_time` is the time in which it falls to 1/e.
  double ValueAt(Time now, Duration decay_time) const {
    return sum * std::exp(-std::clamp(Elapsed(changed_at, now) / decay_time, 0.0, kMaxDecay));
  }

  // Adds `amount` at `now`.
  void Add(double amount, Time now, Duration decay_time) {
    sum = ValueAt(now, decay_time) + amount;
    changed_at = now;
  }
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_DECAYING_COUNTER_H_
