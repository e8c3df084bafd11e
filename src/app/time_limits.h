// Time limits that the platform sets, shared by graceful shutdown and replay.
#ifndef WALNUTSPUR_APP_TIME_LIMITS_H_
#define WALNUTSPUR_APP_TIME_LIMITS_H_

#include "walnutspur/scheduler.h"

namespace walnutspur::app {

// The platform treats a longer client deadline as this one, us.
constexpr Time kMaxPlatformDeadline = 3'000'000;
// From the longest deadline to the end of the process, us. The platform sends SIGKILL 0.7 s after it.
constexpr Time kEndAfterMaxDeadline = 600'000;

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_TIME_LIMITS_H_
