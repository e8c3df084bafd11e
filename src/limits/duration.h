// Defines the type Duration for the scheduler's arithmetic, and its conversions from and to `Time`.
//
// Events, actions and settings state points in time and time spans as integer microseconds (`Time`).
// Estimates need fractions of a microsecond, so the decision module computes with Duration, which counts
// microseconds in floating point. No clock is read here or anywhere else in the module.
#ifndef WALNUTSPUR_LIMITS_DURATION_H_
#define WALNUTSPUR_LIMITS_DURATION_H_

#include <chrono>

#include "walnutspur/types.h"

namespace walnutspur {

// A time span in microseconds, in floating point.
using Duration = std::chrono::duration<double, std::micro>;

constexpr Duration kSecond = std::chrono::seconds(1);

// Returns `span` (us), as stated by an event, an action or the settings, as a Duration.
constexpr Duration Microseconds(Time span) { return Duration(static_cast<double>(span)); }

// Returns the time from `begin` to `end`; negative if `end` is earlier.
constexpr Duration Elapsed(Time begin, Time end) { return Microseconds(end - begin); }

// Returns the time span from the clock's origin to `at`, to compare a point in time with a Duration.
constexpr Duration SinceEpoch(Time at) { return Microseconds(at); }

// Returns `span` in integer microseconds, rounded towards zero.
constexpr Time ToTime(Duration span) { return static_cast<Time>(span.count()); }

}  // namespace walnutspur

#endif  // WALNUTSPUR_LIMITS_DURATION_H_
