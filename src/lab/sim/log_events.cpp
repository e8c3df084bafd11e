#include "lab/sim/log_events.h"

namespace walnutspur::lab::sim {
namespace {

// Returns whether an attempt with this outcome may have taken effect.
bool MayHaveRun(std::int64_t outcome) {
  const auto known = static_cast<Outcome>(outcome);
  return known != Outcome::kOverloaded && known != Outcome::kConnectFailed && known != Outcome::kNotSent;
}

}  // namespace

invariants::Event LogEventReader::Read(const LogEntry& entry) { return {entry.at, ReadBody(entry)}; }

invariants::EventBody LogEventReader::ReadBody(const LogEntry& entry) {
  switch (entry.type) {
    case LogEntryType::kLimits:
      return invariants::RunLimits{entry.value, entry.detail};
    case LogEntryType::kClass:
      classes_[entry.request] = {entry.value == 0, entry.detail};
      return invariants::OtherEvent{};
    case LogEntryType::kRequest:
      return ReadRequest(entry);
    case LogEntryType::kSend:
      return invariants::AttemptSent{entry.request, entry.attempt, entry.initiator, entry.server, 0};
    case LogEntryType::kOutcome:
      return invariants::AttemptEnded{entry.request, entry.attempt, MayHaveRun(entry.value)};
    case LogEntryType::kResponse:
      return invariants::ResponseReceived{entry.request, static_cast<core::ResponseStatus>(entry.value)};
    case LogEntryType::kAccepted:
      return invariants::AttemptAccepted{entry.request, entry.attempt, entry.server, entry.detail};
    case LogEntryType::kWorkStarted:
      return invariants::WorkStarted{entry.request, entry.attempt, entry.server};
    case LogEntryType::kWorkFinished:
      return invariants::WorkFinished{entry.request, entry.server, entry.detail};
    case LogEntryType::kDropped:
      return invariants::WorkDropped{entry.server, entry.detail};
    case LogEntryType::kEndpointNotified:
      return invariants::EndpointNotified{entry.initiator, entry.server,
                                          static_cast<EndpointState>(entry.value) == EndpointState::kActive,
                                          entry.detail};
    case LogEntryType::kOverloadCrash:
      return invariants::ServerOverloaded{entry.server};
    case LogEntryType::kUnfinished:
      return invariants::WorkRemaining{entry.server, entry.detail};
    case LogEntryType::kEnd:
      return invariants::RunEnded{};
    case LogEntryType::kQueueFull:
    case LogEntryType::kServerUp:
    case LogEntryType::kServerDown:
      return invariants::OtherEvent{};
  }
  return invariants::OtherEvent{};
}

invariants::RequestSent LogEventReader::ReadRequest(const LogEntry& entry) const {
  invariants::RequestSent request;
  request.request = entry.request;
  request.initiator = entry.initiator;
  request.shard = entry.server;
  const auto known = classes_.find(entry.value);
  if (known != classes_.end()) {
    request.terms = invariants::RequestTerms{known->second.is_idempotent, entry.at + known->second.deadline};
  }
  return request;
}

}  // namespace walnutspur::lab::sim
