// Checks the invariants of attempts: whether an initiator may send an attempt, to which server, and which
// outcome it reports.
//
// An attempt of an unknown request violates known-request and is not checked further.
#include "lab/invariants/invariant_checks.h"

namespace walnutspur::lab::invariants {
namespace {

constexpr Time kMicrosecondsPerMillisecond = 1'000;

std::string Milliseconds(Time span) { return std::to_string(span / kMicrosecondsPerMillisecond) + " ms"; }

// Returns the observed attempt if it is sent for a known request, otherwise nullptr.
const AttemptSent* SentAttempt(const Observation& observation) {
  return observation.request == nullptr ? nullptr : As<AttemptSent>(observation);
}

}  // namespace

// No attempt is sent once the client has its response. Input: attempts, responses. Tolerance: none.
void CheckAttemptAfterResponse(const Observation& observation, const FindingSink& report) {
  if (SentAttempt(observation) != nullptr && observation.request->has_response) {
    report({"attempt sent after the response to its request"});
  }
}

// No attempt is sent once the client has disconnected. Input: attempts, disconnections. Tolerance:
// disconnect_slack, within which the initiator learns of the disconnection and written attempts arrive.
void CheckAttemptAfterDisconnect(const Observation& observation, const FindingSink& report) {
  if (SentAttempt(observation) == nullptr || !observation.request->disconnect) {
    return;
  }
  const Disconnect& disconnect = *observation.request->disconnect;
  const bool has_disconnected = disconnect.reason == DisconnectReason::kClientDisconnected ||
                                disconnect.reason == DisconnectReason::kNoResponse;
  const Time since_disconnect = observation.event.at - disconnect.at;
  if (has_disconnected && since_disconnect > observation.tolerances.disconnect_slack) {
    report({"sent " + Milliseconds(since_disconnect) + " after its client had disconnected"});
  }
}

// Attempts of a request are numbered from 0 in the order in which they are sent. Input: attempts. Tolerance:
// none.
void CheckAttemptNumber(const Observation& observation, const FindingSink& report) {
  const AttemptSent* const sent = SentAttempt(observation);
  if (sent != nullptr && sent->attempt != static_cast<int>(observation.request->attempts.size())) {
    report({"attempt number is out of order"});
  }
}

// A request has at most as many attempts as the limits allow. Input: limits, attempts. Tolerance: none.
void CheckMaxAttempts(const Observation& observation, const FindingSink& report) {
  const AttemptSent* const sent = SentAttempt(observation);
  if (sent != nullptr && sent->attempt >= observation.run.limits().max_attempts) {
    report({"more attempts than the limit allows"});
  }
}

// An attempt states no more time than is left until the request's deadline, and none is sent after it.
// Input: attempts. Tolerance: deadline_slack, for the transit of the request and of the attempt.
void CheckAttemptDeadline(const Observation& observation, const FindingSink& report) {
  const AttemptSent* const sent = SentAttempt(observation);
  if (sent == nullptr) {
    return;
  }
  const Time time_left = observation.request->deadline - observation.event.at;
  if (sent->stated_time_left > time_left + observation.tolerances.deadline_slack) {
    report({"stated " + Milliseconds(sent->stated_time_left) + " with " + Milliseconds(time_left) +
            " left until the deadline"});
  }
}

// A request that is not idempotent is not sent again while an earlier attempt may have run. Input: attempts,
// their outcomes. Tolerance: none. One finding for each earlier attempt.
void CheckUnsafeRetry(const Observation& observation, const FindingSink& report) {
  if (SentAttempt(observation) == nullptr || observation.request->is_idempotent) {
    return;
  }
  for (const AttemptState& earlier : observation.request->attempts) {
    if (earlier.PossiblyRan()) {
      report({"request is not idempotent and was sent again although an earlier attempt may have run"});
    }
  }
}

// An attempt goes to a server that the initiator was notified of. Input: attempts, notifications. Tolerance:
// none.
void CheckUnknownTarget(const Observation& observation, const FindingSink& report) {
  const AttemptSent* const sent = SentAttempt(observation);
  if (sent != nullptr && observation.run.FindEndpoint(sent->initiator, sent->server) == nullptr) {
    report({"sent to a server that this initiator was not notified of"});
  }
}

// No attempt goes to a server later than the drain grace after the initiator was notified of its drain.
// Input: limits, attempts, notifications. Tolerance: drain_slack, for the transit to the server;
// last_notice_counts.
void CheckDrainGrace(const Observation& observation, const FindingSink& report) {
  const AttemptSent* const sent = SentAttempt(observation);
  const KnownEndpoint* const endpoint =
      sent == nullptr ? nullptr : observation.run.FindEndpoint(sent->initiator, sent->server);
  if (endpoint == nullptr || endpoint->is_active) {
    return;
  }
  const Tolerances& tolerances = observation.tolerances;
  const Time notified_at = tolerances.last_notice_counts ? endpoint->notified_at : endpoint->inactive_since;
  const Time since_notice = observation.event.at - notified_at;
  if (since_notice > observation.run.limits().drain_grace + tolerances.drain_slack) {
    report({"sent to a server " + Milliseconds(since_notice) +
            " after the notice of its drain, later than the drain grace allows"});
  }
}

// An attempt goes to a server of the request's shard. Input: requests, attempts, notifications. Tolerance:
// none.
void CheckWrongShard(const Observation& observation, const FindingSink& report) {
  const AttemptSent* const sent = SentAttempt(observation);
  const KnownEndpoint* const endpoint =
      sent == nullptr ? nullptr : observation.run.FindEndpoint(sent->initiator, sent->server);
  if (endpoint == nullptr || observation.request->shard < 0) {
    return;
  }
  if (endpoint->shard != observation.request->shard) {
    report({"sent to a server that does not hold the shard of the request"});
  }
}

// An attempt has one outcome. Input: outcomes. Tolerance: none.
void CheckOneOutcome(const Observation& observation, const FindingSink& report) {
  if (As<AttemptEnded>(observation) != nullptr && observation.attempt != nullptr &&
      observation.attempt->ended) {
    report({"second outcome of the same attempt"});
  }
}

// An attempt whose outcome says that it has not run was not begun by its server. Input: outcomes, starts of
// work. Tolerance: none.
void CheckFalseNotRun(const Observation& observation, const FindingSink& report) {
  const auto* const ended = As<AttemptEnded>(observation);
  if (ended != nullptr && observation.attempt != nullptr && !ended->may_have_run &&
      observation.attempt->started) {
    report({"outcome states that the attempt has not run, but the server started it"});
  }
}

}  // namespace walnutspur::lab::invariants
