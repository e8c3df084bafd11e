// Checks the invariants of the work of storage servers on attempts, and of processes.
#include "lab/invariants/invariant_checks.h"

namespace walnutspur::lab::invariants {

// An attempt is accepted by the server that it was sent to. Input: attempts, acceptances. Tolerance: none.
void CheckMisdelivered(const Observation& observation, const FindingSink& report) {
  const auto* const accepted = As<AttemptAccepted>(observation);
  if (accepted != nullptr && observation.attempt != nullptr &&
      observation.attempt->server != accepted->server) {
    report({"attempt accepted by a server that it was not sent to"});
  }
}

// Work on a request that is not idempotent begins once. Input: starts of work. Tolerance: none.
void CheckRepeatedWork(const Observation& observation, const FindingSink& report) {
  if (As<WorkStarted>(observation) != nullptr && observation.request != nullptr &&
      !observation.request->is_idempotent && observation.request->started) {
    report({"work on a request that is not idempotent was started a second time"});
  }
}

// Units that a server has accepted are finished, dropped or still held at the end. Input: acceptances,
// finished and dropped work, the work that remains. Tolerance: none.
void CheckUnaccountedWork(const Observation& observation, const FindingSink& report) {
  const auto* const remaining = As<WorkRemaining>(observation);
  if (remaining == nullptr) {
    return;
  }
  const std::int64_t difference = observation.run.HeldUnits(remaining->server) - remaining->units;
  if (difference != 0) {
    report({"accepted units are neither finished nor dropped nor held: " + std::to_string(difference) +
            " thousandths"});
  }
}

// No server crashes by overload while it is warming up. Input: overload crashes. Tolerance: none.
void CheckSlowStart(const Observation& observation, const FindingSink& report) {
  if (As<ServerOverloaded>(observation) != nullptr) {
    report({"server crashed by overload while it was warming up"});
  }
}

// A process of the initiator ends by the run's signals alone. Input: crashes. Tolerance: none.
void CheckProcessCrash(const Observation& observation, const FindingSink& report) {
  if (const auto* const crash = As<ProcessCrashed>(observation)) {
    report({crash->description});
  }
}

}  // namespace walnutspur::lab::invariants
