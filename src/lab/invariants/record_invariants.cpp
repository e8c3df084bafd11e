// Invariants of the record itself: what breaks them is a fault of the laboratory or of the engine's
// numbering.
#include "lab/invariants/invariant_checks.h"

namespace walnutspur::lab::invariants {

// Nothing follows the end of the run. Input: every event. Tolerance: none.
void CheckRecordEnd(const Observation& observation, const FindingSink& report) {
  if (observation.run.ended()) {
    report({"an entry after the end"});
  }
}

// Times do not decrease. Input: every event. Tolerance: none; only the simulation has one clock.
void CheckRecordOrder(const Observation& observation, const FindingSink& report) {
  if (observation.event.at < observation.run.now()) {
    report({"time ran backwards"});
  }
}

// Each request is sent once by a client, with a class that the record defines, and before its attempts and
// its response. Input: requests, attempts, responses. Tolerance: none.
void CheckKnownRequest(const Observation& observation, const FindingSink& report) {
  const bool is_known = observation.request != nullptr;
  if (const auto* const sent = As<RequestSent>(observation)) {
    if (!sent->terms) {
      report({"a request of an undefined class"});
    } else if (is_known) {
      report({"the same request is sent twice"});
    }
  } else if (As<AttemptSent>(observation) != nullptr && !is_known) {
    report({"an attempt of a request that no client has sent, or that is over"});
  } else if (As<ResponseReceived>(observation) != nullptr && !is_known) {
    report({"a response to a request that no client has sent, or that is over"});
  }
}

}  // namespace walnutspur::lab::invariants
