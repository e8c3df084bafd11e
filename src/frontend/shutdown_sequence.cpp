#include "frontend/shutdown_sequence.h"

#include <algorithm>

namespace walnutspur::frontend {

void ShutdownSequence::Schedule() { phase_ = std::max(phase_, ShutdownPhase::kScheduled); }

bool ShutdownSequence::Advance(Time time_left) {
  const bool was_draining = is_draining();
  phase_ = std::max(phase_, PhaseAt(time_left));
  return !was_draining && is_draining();
}

// Returns the phase for the time left until the deadline. No connection is closed before the front end
// drains, even if close_idle_before allows closing idle connections earlier.
ShutdownPhase ShutdownSequence::PhaseAt(Time time_left) const {
  if (!is_draining() && !estimate_.IsLastResponse(time_left)) {
    return phase_;
  }
  const Duration remaining = Microseconds(time_left);
  if (remaining <= -limits_.close_awaiting_response_after) {
    return ShutdownPhase::kClosingAwaitingResponse;
  }
  if (remaining <= -limits_.close_partial_request_after) {
    return ShutdownPhase::kClosingPartialRequest;
  }
  if (remaining <= limits_.close_idle_before) {
    return ShutdownPhase::kClosingIdle;
  }
  return ShutdownPhase::kDraining;
}

bool ShutdownSequence::ShouldClose(ConnectionActivity activity) const {
  switch (activity) {
    case ConnectionActivity::kIdle:
      return phase_ >= ShutdownPhase::kClosingIdle;
    case ConnectionActivity::kPartialRequest:
      return phase_ >= ShutdownPhase::kClosingPartialRequest;
    case ConnectionActivity::kAwaitingResponse:
      return phase_ >= ShutdownPhase::kClosingAwaitingResponse;
  }
  return false;
}

}  // namespace walnutspur::frontend
