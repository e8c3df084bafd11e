// Sliding window: a queue of timed samples from which old samples are removed.
//
// No I/O, clock or thread; the owner removes expired samples with ExpireThrough.
#ifndef WALNUTSPUR_LIMITS_SLIDING_WINDOW_H_
#define WALNUTSPUR_LIMITS_SLIDING_WINDOW_H_

#include <cstddef>
#include <deque>

#include "walnutspur/types.h"

namespace walnutspur::limits {

// Class SlidingWindow holds samples in order of time. Times passed to Add must not decrease.
class SlidingWindow {
 public:
  // Records a sample of `units` at `now` (us).
  void Add(Time now, double units = 1) { samples_.push_back({now, units}); }

  // Removes the samples taken at or before `until` (us).
  void ExpireThrough(Time until) {
    while (!samples_.empty() && samples_.front().at <= until) {
      samples_.pop_front();
    }
  }

  // Returns the number of samples held.
  std::size_t count() const { return samples_.size(); }

  // Returns the sum of the samples held, in units.
  double TotalUnits() const {
    double total = 0;
    for (const Sample& sample : samples_) {
      total += sample.units;
    }
    return total;
  }

 private:
  struct Sample {
    Time at = 0;
    double units = 0;
  };
  std::deque<Sample> samples_;
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_SLIDING_WINDOW_H_
