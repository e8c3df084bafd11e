// Spans of time in the scheduler's arithmetic, and their conversion from and to the times of events.
//
// Points in time, and the spans that events, actions and settings state, are integer microseconds (`Time`).
// Estimates are fractions of one, so the decision module computes with a Duration, which counts microseconds
// in floating point. Only types: no clock is read here or anywhere else in the module.
#ifndef WALNUTSPUR_LIMITS_DURATION_H_
#define WALNUTSPUR_LIMITS_DURATION_H_

#include <chrono>

#include "walnutspur/types.h"

namespace walnutspur {

// A span of time.
using Duration = std::chrono::duration<double, std::micro>;

constexpr Duration kSecond = std::chrono::seconds(1);

// The span that an event, an action or the settings state, given in us.
constexpr Duration Microseconds(Time span) { return Duration(static_cast<double>(span)); }

// Time from `begin` to `end`; negative if `end` is the earlier one.
constexpr Duration Elapsed(Time begin, Time end) { return Microseconds(end - begin); }

// A point in time as the span since the clock's origin, for comparison with fractions of microseconds.
constexpr Duration SinceEpoch(Time at) { return Microseconds(at); }

// A span in integer microseconds, rounded towards zero, as points in time and actions count it.
constexpr Time ToTime(Duration span) { return static_cast<Time>(span.count()); }

}  // namespace walnutspur

#endif  // WALNUTSPUR_LIMITS_DURATION_H_
