// How long before the end of a program a connection has to be told that its next answer is the last.
//
// A client that sends on as soon as it is answered has a request out at any moment. If it is told too late,
// that last request gets no answer in time; if it is told too early, it finds nobody to ask for that long. So
// the time is what answers take at present, slow ones counting. No I/O, clock or thread; each front owns one.
#ifndef WALNUTSPUR_LIMITS_SHUTDOWN_DEADLINE_ESTIMATE_H_
#define WALNUTSPUR_LIMITS_SHUTDOWN_DEADLINE_ESTIMATE_H_

#include <algorithm>

#include "walnutspur/scheduler.h"

namespace walnutspur::limits {

class ShutdownDeadlineEstimate {
 public:
  // An answer was given, `took` us after its request had come.
  void OnResponse(Time took) {
    const double gap = static_cast<double>(took) - slow_;
    slow_ += (gap > 0 ? kRise : kFall) * gap;
  }
  // With `left` us until all has to be answered: whether the next answer of each connection is its last.
  bool IsLastResponse(Time left) const {
    return left <= std::clamp(static_cast<Time>(kSpare * slow_), kLeast, kMost);
  }

 private:
  static constexpr double kRise = 0.2, kFall = 0.05;  // so that four fifths of the answers take less
  static constexpr double kSpare = 1.5;               // the last ones come all at once
  static constexpr Time kLeast = 200'000;   // us: longer than idle connections are given (http/front_end.cpp)
  static constexpr Time kMost = 1'000'000;  // us: beyond it most clients have lost interest
  double slow_ = 0;                         // us
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_SHUTDOWN_DEADLINE_ESTIMATE_H_
