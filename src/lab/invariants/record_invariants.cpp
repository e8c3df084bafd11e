// Checks the invariants of the record itself. A violation is a fault of the lab or of the engine's numbering.
#include "lab/invariants/invariant_checks.h"

namespace walnutspur::lab::invariants {

// Nothing follows the end of the run. Input: every event. Tolerance: none.
void CheckRecordEnd(const Observation& observation, const FindingSink& report) {
  if (observation.run.ended()) {
    report({"event recorded after the end of the run"});
  }
}

// Times do not decrease. Input: every event. Tolerance: none; only the simulation has one clock.
void CheckRecordOrder(const Observation& observation, const FindingSink& report) {
  if (observation.event.at < observation.run.now()) {
    report({"event time is earlier than the time of an event before it"});
  }
}

// Each request is sent once by a client, with a class that the record defines, and before its attempts and
// its response. Input: requests, attempts, responses. Tolerance: none.
void CheckKnownRequest(const Observation& observation, const FindingSink& report) {
  const bool is_known = observation.request != nullptr;
  if (const auto* const sent = As<RequestSent>(observation)) {
    if (!sent->terms) {
      report({"request of an undefined class"});
    } else if (is_known) {
      report({"request sent twice"});
    }
  } else if (As<AttemptSent>(observation) != nullptr && !is_known) {
    report({"attempt of an unknown request: no client has sent it, or it has already completed"});
  } else if (As<ResponseReceived>(observation) != nullptr && !is_known) {
    report({"response to an unknown request: no client has sent it, or it has already completed"});
  }
}

}  // namespace walnutspur::lab::invariants
