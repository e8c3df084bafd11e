// Checks the invariants of responses: one for each request, before the deadline, with the correct status.
#include <algorithm>

#include "lab/invariants/invariant_checks.h"

namespace walnutspur::lab::invariants {
namespace {

// Returns the observed response if it is the first to a known request, otherwise nullptr.
const ResponseReceived* FirstResponse(const Observation& observation) {
  const bool is_first = observation.request != nullptr && !observation.request->has_response;
  return is_first ? As<ResponseReceived>(observation) : nullptr;
}

// Returns the latest of `times`, which are sorted, that is not after `at`, or 0 if there is none.
Time LatestUntil(const std::vector<Time>& times, Time at) {
  const auto after = std::upper_bound(times.begin(), times.end(), at);
  return after == times.begin() ? 0 : *std::prev(after);
}

// Returns whether the exit of the initiator's process explains that a request got no response: the process
// was killed in the meantime, and not in its graceful shutdown.
bool IsExcusedByProcessEnd(const RequestState& request, Time disconnected_at,
                           const Observation& observation) {
  const ProcessHistory* const history = observation.run.FindProcess(request.initiator);
  if (history == nullptr) {
    return false;
  }
  const Time terminated = LatestUntil(history->terminations, request.sent_at);
  if (terminated > LatestUntil(history->starts, request.sent_at)) {
    return false;  // after SIGTERM the kill comes so late that every request can get its response
  }
  return std::any_of(history->kills.begin(), history->kills.end(), [&](Time at) {
    return at >= request.sent_at && at <= disconnected_at + observation.tolerances.kill_slack;
  });
}

// Returns whether a request without a response at the end of the run should have got one.
bool IsMissingResponse(const RequestState& request, const Observation& observation) {
  if (request.disconnect) {
    return request.disconnect->reason == DisconnectReason::kNoResponse &&
           !IsExcusedByProcessEnd(request, request.disconnect->at, observation);
  }
  return request.deadline + observation.tolerances.response_grace < observation.event.at;
}

}  // namespace

// A request has at most one response. Input: responses. Tolerance: none.
void CheckOneResponse(const Observation& observation, const FindingSink& report) {
  if (As<ResponseReceived>(observation) != nullptr && observation.request != nullptr &&
      observation.request->has_response) {
    report({"second response to the same request"});
  }
}

// A response comes by the request's deadline. Input: requests, responses. Tolerance: response_grace.
void CheckResponseDeadline(const Observation& observation, const FindingSink& report) {
  if (FirstResponse(observation) != nullptr &&
      observation.event.at > observation.request->deadline + observation.tolerances.response_grace) {
    report({"response received after the deadline of the client"});
  }
}

// A request that is said to be served was completed by a server. Input: responses, finished work. Tolerance:
// none.
void CheckFalseServed(const Observation& observation, const FindingSink& report) {
  const ResponseReceived* const response = FirstResponse(observation);
  if (response != nullptr && response->status == core::ResponseStatus::kServed &&
      observation.request->completions == 0) {
    report({"response states that the request was served, but no server completed it"});
  }
}

// A request that is rejected and not idempotent has not run: a rejection states that a retry is safe, and the
// client retries. Input: responses, outcomes of attempts. Tolerance: none. One finding for each
// attempt.
void CheckFalseRejected(const Observation& observation, const FindingSink& report) {
  const ResponseReceived* const response = FirstResponse(observation);
  if (response == nullptr || response->status != core::ResponseStatus::kRejected ||
      observation.request->is_idempotent) {
    return;
  }
  for (const AttemptState& attempt : observation.request->attempts) {
    if (attempt.PossiblyRan()) {
      report({"request was rejected although it may have run"});
    }
  }
}

// Each request gets a response while its client waits, unless the initiator's process was killed. Input:
// requests, responses, disconnections, the processes' histories; checked when the run ends. Tolerance:
// response_grace, kill_slack.
void CheckMissingResponse(const Observation& observation, const FindingSink& report) {
  if (As<RunEnded>(observation) == nullptr) {
    return;
  }
  for (const auto& [number, request] : observation.run.requests()) {
    if (!request.has_response && IsMissingResponse(request, observation)) {
      report({"no response while its client waited", number});
    }
  }
}

}  // namespace walnutspur::lab::invariants
