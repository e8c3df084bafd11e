// Measures the time since the current iteration of an event loop began, by the monotonic clock.
//
// libevent provides the begin of the iteration as wall time only. It computes that as its monotonic reading
// plus an offset, which follows steps of the wall clock some seconds late. The offset is determined by means
// of a timer whose monotonic expiry is known. Owned by a front end; used on the thread of its event loop
// only.
#ifndef WALNUTSPUR_LOOP_ITERATION_CLOCK_H_
#define WALNUTSPUR_LOOP_ITERATION_CLOCK_H_

#include <algorithm>

#include "core/clock.h"
#include "loop/loop.h"

namespace walnutspur::loop {

// Delay of the timer that determines libevent's offset: longer than the process runs, so that it never fires.
constexpr Time kIterationClockProbeDelay = Time{365} * 24 * 3600 * kMicrosecondsPerSecond;

class IterationClock {
 public:
  explicit IterationClock(event_base* base)
      : base_(base), probe_(MakeTimer(base, [] {})), probe_expiry_(core::Now() + kIterationClockProbeDelay) {
    event_base_update_cache_time(base);
    probe_.Start(kIterationClockProbeDelay);
  }

  // Returns the time since the loop's current iteration began, us; 0 outside of the loop's callbacks.
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
