// The clock of the process. Header-only, so that code which doesn't link the engine reads the same clock.
#ifndef WALNUTSPUR_CORE_CLOCK_H_
#define WALNUTSPUR_CORE_CLOCK_H_

#include <chrono>

#include "walnutspur/scheduler.h"

namespace walnutspur::core {

// Returns Unix time in microseconds that never runs backwards: the steady clock plus its offset to Unix time,
// which is determined once, at the first call. Callable from any thread.
inline Time Now() {
  using std::chrono::duration_cast;
  using std::chrono::microseconds;
  using std::chrono::steady_clock;
  using std::chrono::system_clock;
  static const Time offset = duration_cast<microseconds>(system_clock::now().time_since_epoch()).count() -
                             duration_cast<microseconds>(steady_clock::now().time_since_epoch()).count();
  return offset + duration_cast<microseconds>(steady_clock::now().time_since_epoch()).count();
}

// Returns Unix time in microseconds by the machine's wall clock, which may be stepped forward and back. Only
// for times that are exchanged with other machines; measure time spans with Now. Callable from any thread.
inline Time WallClock() {
  using std::chrono::duration_cast;
  using std::chrono::microseconds;
  return duration_cast<microseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}  // namespace walnutspur::core

#endif  // WALNUTSPUR_CORE_CLOCK_H_
