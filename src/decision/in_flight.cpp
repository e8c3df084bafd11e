#include "decision/in_flight.h"

#include <algorithm>

#include "decision/loss_detection.h"

namespace walnutspur::decision {
namespace {

// Multiple of its age for which an attempt that ended without a response is presumed in flight: a target that
// has not responded for some time usually needs a multiple of that time.
constexpr double kPresumedInFlightAges = 3;

}  // namespace

double UnitsInFlight(const SchedulerState& state, const TargetState& target) {
  double units = 0;
  for (const Attempt& attempt : target.attempts) {
    units += IsPresumedLost(state, target, attempt) ? 0 : attempt.units;
  }
  return units;
}

std::size_t AttemptsInFlight(const SchedulerState& state, const TargetState& target) {
  std::size_t count = 0;
  for (const Attempt& attempt : target.attempts) {
    count += IsPresumedLost(state, target, attempt) ? 0 : 1;
  }
  return count;
}

void EndAttempt(const SchedulerState& state, const RequestState& request, Outcome outcome,
                TargetState& target) {
  const auto ended = std::find_if(
      target.attempts.begin(), target.attempts.end(),
      [&](const Attempt& attempt) { return attempt.request.get() == &request && !attempt.has_ended(); });
  if (ended == target.attempts.end()) {
    return;
  }
  const bool may_occupy_target = outcome == Outcome::kTimedOut || outcome == Outcome::kCancelled;
  if (may_occupy_target && !IsPresumedLost(state, target, *ended)) {
    const Duration remaining = kPresumedInFlightAges * state.Since(ended->sent_at);
    ended->presumed_in_flight_until = state.now + ToTime(remaining) + 1;
  } else {
    target.attempts.erase(ended);
  }
  RemoveEndedAttempts(state, target);
}

void RemoveEndedAttempts(const SchedulerState& state, TargetState& target) {
  std::erase_if(target.attempts, [&](const Attempt& attempt) {
    return attempt.has_ended() &&
           (state.now >= attempt.presumed_in_flight_until || IsPresumedLost(state, target, attempt));
  });
}

}  // namespace walnutspur::decision
