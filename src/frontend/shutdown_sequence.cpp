#include "frontend/shutdown_sequence.h"

#include <algorithm>

namespace walnutspur::frontend {

void ShutdownSequence::Schedule() { phase_ = std::max(phase_, ShutdownPhase::kScheduled); }

bool ShutdownSequence::Advance(Time left) {
  const bool was_draining = is_draining();
  phase_ = std::max(phase_, PhaseAt(left));
  return !was_draining && is_draining();
}

// The transitions of a shutdown. Nothing is closed before the front end drains, however long before the
// deadline idle connections may be closed.
ShutdownPhase ShutdownSequence::PhaseAt(Time left) const {
  if (!is_draining() && !estimate_.IsLastResponse(left)) {
    return phase_;
  }
  const Duration remaining = Microseconds(left);
  if (remaining <= -limits_.close_unanswered_after) {
    return ShutdownPhase::kClosingUnanswered;
  }
  if (remaining <= -limits_.close_unfinished_after) {
    return ShutdownPhase::kClosingUnfinished;
  }
  if (remaining <= limits_.close_idle_before) {
    return ShutdownPhase::kClosingIdle;
  }
  return ShutdownPhase::kDraining;
}

bool ShutdownSequence::Closes(ConnectionActivity activity) const {
  switch (activity) {
    case ConnectionActivity::kIdle:
      return phase_ >= ShutdownPhase::kClosingIdle;
    case ConnectionActivity::kUnfinished:
      return phase_ >= ShutdownPhase::kClosingUnfinished;
    case ConnectionActivity::kUnanswered:
      return phase_ >= ShutdownPhase::kClosingUnanswered;
  }
  return false;
}

}  // namespace walnutspur::frontend
