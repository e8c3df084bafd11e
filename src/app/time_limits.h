// Time limits that the platform sets, shared by graceful shutdown and replay.
#ifndef WALNUTSPUR_APP_TIME_LIMITS_H_
#define WALNUTSPUR_APP_TIME_LIMITS_H_

#include "walnutspur/scheduler.h"

namespace walnutspur::app {

// Maximum deadline of a client, us; the platform treats a longer deadline as this one.
constexpr Time kMaxPlatformDeadline = 3'000'000;
// Time from the longest deadline to the end of the process, us. The platform sends SIGKILL 0.7 s after that
// deadline.
constexpr Time kEndAfterMaxDeadline = 600'000;

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_TIME_LIMITS_H_
