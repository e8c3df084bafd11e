// Sliding window: timed samples of which the old ones are removed from the front.
//
// No I/O, clock or thread; the owner expires samples with the time it is at.
#ifndef WALNUTSPUR_LIMITS_SLIDING_WINDOW_H_
#define WALNUTSPUR_LIMITS_SLIDING_WINDOW_H_

#include <cstddef>
#include <deque>

#include "walnutspur/types.h"

namespace walnutspur::limits {

// Samples in order of time. Times passed to Add never decrease.
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

  // Number of samples held.
  std::size_t count() const { return samples_.size(); }

  // Sum of the samples held, in units.
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
