// How long ago the present turn of an event loop began, by the monotonic clock.
//
// libevent has the begin of the turn as wall time only: its monotonic reading plus an offset of its own,
// which follows steps of the wall clock some seconds late. A timer whose monotonic expiry is known shows that
// offset. Owned by a front end; belongs to the thread of its event loop.
#ifndef WALNUTSPUR_LOOP_ITERATION_CLOCK_H_
#define WALNUTSPUR_LOOP_ITERATION_CLOCK_H_

#include <algorithm>

#include "core/clock.h"
#include "loop/loop.h"

namespace walnutspur::loop {

// The delay of the timer that shows libevent's offset: longer than the process runs.
constexpr Time kIterationClockProbeDelay = Time{365} * 24 * 3600 * kMicrosecondsPerSecond;

class IterationClock {
 public:
  explicit IterationClock(event_base* base)
      : base_(base), probe_(MakeTimer(base, [] {})), probe_expiry_(core::Now() + kIterationClockProbeDelay) {
    event_base_update_cache_time(base);
    probe_.Start(kIterationClockProbeDelay);
  }

  // Time since the loop's present turn began, us; 0 outside of its callbacks.
  Time SinceIterationBegan() const {
    timeval iteration_began_at{};
    event_base_gettimeofday_cached(base_, &iteration_began_at);
    const Time until_probe = ToMicroseconds(probe_.ExpiryOnWallClock()) - ToMicroseconds(iteration_began_at);
    return std::max<Time>(0, until_probe - (probe_expiry_ - core::Now()));
  }

 private:
  event_base* base_;
  EventHandle probe_;
  Time probe_expiry_;
};

}  // namespace walnutspur::loop

#endif  // WALNUTSPUR_LOOP_ITERATION_CLOCK_H_
