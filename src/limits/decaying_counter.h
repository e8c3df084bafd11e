// A sum that fades with time. No I/O, clock or thread: the time comes with each call.
#ifndef WALNUTSPUR_LIMITS_DECAYING_COUNTER_H_
#define WALNUTSPUR_LIMITS_DECAYING_COUNTER_H_

#include <algorithm>
#include <cmath>

#include "walnutspur/scheduler.h"

namespace walnutspur::limits {

struct DecayingCounter {
  double sum = 0;
  Time at = 0;  // of its last change
  // What is left of it at `now`; `fades` is the time, us, in which it falls to 1/e.
  double Now(Time now, double fades) const {
    return sum * std::exp(-std::clamp(double(now - at) / fades, 0.0, 20.0));
  }
  void Add(double units, Time now, double fades) { sum = Now(now, fades) + units, at = now; }
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_DECAYING_COUNTER_H_
