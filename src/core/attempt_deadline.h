// Computes the time limits of an attempt, for all connectors alike. Header-only; callable from any thread.
#ifndef WALNUTSPUR_CORE_ATTEMPT_DEADLINE_H_
#define WALNUTSPUR_CORE_ATTEMPT_DEADLINE_H_

#include "core/messages.h"

namespace walnutspur::core {

// Returns the time at which the attempt times out if it begins at `now`, us.
inline Time ExpiresAt(const StartAttempt& attempt, Time now) {
  return attempt.expires_at > 0 ? attempt.expires_at : now + attempt.timeout;
}

// Returns whether `now` has reached a limit such as StartAttempt::not_after; a limit of 0 means none.
inline bool IsPast(Time limit, Time now) { return limit > 0 && now >= limit; }

}  // namespace walnutspur::core

#endif  // WALNUTSPUR_CORE_ATTEMPT_DEADLINE_H_
