#include "lab/sim/invariant_checker.h"

#include <algorithm>
#include <utility>

#include "core/engine.h"

namespace walnutspur::lab {
namespace {

// Whether an attempt with this outcome has certainly not run.
bool HasNotRun(std::int64_t outcome) {
  const auto known = static_cast<Outcome>(outcome);
  return known == Outcome::kOverloaded || known == Outcome::kConnectFailed || known == Outcome::kNotSent;
}

// The initiator in the upper half, the server in the lower one.
std::int64_t EndpointKey(int initiator, int server) {
  return static_cast<std::int64_t>(initiator) << 32 | static_cast<std::uint32_t>(server);
}

}  // namespace

void InvariantChecker::Observe(const LogEntry& entry) {
  CheckOrder(entry);
  switch (entry.type) {
    case LogEntryType::kLimits:
      max_attempts_ = entry.value;
      drain_grace_ = entry.detail;
      return;
    case LogEntryType::kClass:
      classes_[entry.request] = {entry.value != 0, entry.detail};
      return;
    case LogEntryType::kRequest:
      return OnRequest(entry);
    case LogEntryType::kSend:
      return OnSend(entry);
    case LogEntryType::kOutcome:
      return OnOutcome(entry);
    case LogEntryType::kResponse:
      return OnResponse(entry);
    case LogEntryType::kAccepted:
      return OnAccepted(entry);
    case LogEntryType::kWorkStarted:
      return OnWorkStarted(entry);
    case LogEntryType::kWorkFinished:
      return OnWorkFinished(entry);
    case LogEntryType::kDropped:
      held_units_[entry.server] -= entry.detail;
      return;
    case LogEntryType::kEndpointNotified:
      return OnEndpointNotified(entry);
    case LogEntryType::kOverloadCrash:
      return Report("cold", entry, "a cold box was pushed over");
    case LogEntryType::kUnfinished:
      return OnUnfinished(entry);
    case LogEntryType::kEnd:
      return OnEnd(entry);
    default:
      return;  // full queues, starts and ends of processes violate nothing
  }
}

void InvariantChecker::CheckOrder(const LogEntry& entry) {
  if (ended_) {
    Report("end", entry, "an entry after the end");
  }
  if (entry.at < now_) {
    Report("time", entry, "time ran backwards");
  }
  now_ = std::max(now_, entry.at);
}

void InvariantChecker::Report(const char* rule, const LogEntry& entry, std::string description) {
  if (++counts_[rule] == 1) {
    first_violations_.push_back({rule, entry, std::move(description)});
  }
}

InvariantChecker::Request* InvariantChecker::Find(const LogEntry& entry) {
  const auto at = requests_.find(entry.request);
  return at == requests_.end() ? nullptr : &at->second;
}

InvariantChecker::Attempt* InvariantChecker::FindAttempt(const LogEntry& entry) {
  Request* request = Find(entry);
  if (!request || entry.attempt < 0 || entry.attempt >= static_cast<int>(request->attempts.size())) {
    return nullptr;
  }
  return &request->attempts[static_cast<std::size_t>(entry.attempt)];
}

// Frees the memory of a request of which no later entry can violate an invariant: it is answered, each of its
// attempts has an outcome, and it may run again.
void InvariantChecker::EraseIfSettled(std::int64_t number) {
  const auto at = requests_.find(number);
  if (at == requests_.end() || !at->second.answered || at->second.not_idempotent) {
    return;
  }
  const std::vector<Attempt>& attempts = at->second.attempts;
  const bool all_ended =
      std::all_of(attempts.begin(), attempts.end(), [](const Attempt& attempt) { return attempt.ended; });
  if (all_ended) {
    requests_.erase(at);
  }
}

// ---- initiators ----

void InvariantChecker::OnRequest(const LogEntry& entry) {
  const auto known = classes_.find(entry.value);
  if (known == classes_.end()) {
    return Report("known", entry, "a request of a class that is not there");
  }
  Request request;
  request.shard = entry.server;
  request.not_idempotent = known->second.not_idempotent;
  request.deadline = entry.at + known->second.deadline;
  if (!requests_.emplace(entry.request, request).second) {
    Report("known", entry, "the same request is asked twice");
  }
}

void InvariantChecker::OnSend(const LogEntry& entry) {
  Request* request = Find(entry);
  if (!request) {
    return Report("known", entry, "an attempt of a request that nobody has asked, or that is over");
  }
  CheckAttemptNumber(entry, *request);
  CheckEndpoint(entry, *request);
  Attempt attempt;
  attempt.server = entry.server;
  request->attempts.push_back(attempt);
}

void InvariantChecker::CheckAttemptNumber(const LogEntry& entry, const Request& request) {
  if (request.answered) {
    Report("after-answer", entry, "an attempt of a request that has its answer");
  }
  if (entry.attempt != static_cast<int>(request.attempts.size())) {
    Report("trial-order", entry, "attempts are not numbered in order");
  }
  if (entry.attempt >= max_attempts_) {
    Report("attempts", entry, "more attempts than are allowed");
  }
  for (const Attempt& attempt : request.attempts) {
    if (request.not_idempotent && (!attempt.ended || attempt.may_have_run)) {
      Report("unsafe-resent", entry, "sent again though an earlier attempt may have run");
    }
  }
}

void InvariantChecker::CheckEndpoint(const LogEntry& entry, const Request& request) {
  const auto known = endpoints_.find(EndpointKey(entry.initiator, entry.server));
  if (known == endpoints_.end()) {
    return Report("unlisted", entry, "sent to a box that this initiator has not heard of");
  }
  const Endpoint& endpoint = known->second;
  if (endpoint.state != EndpointState::kActive && entry.at > endpoint.since + drain_grace_) {
    Report("drain", entry, "sent to a box later than the grace after the notice of its drain");
  }
  if (request.shard >= 0 && endpoint.shard != request.shard) {
    Report("cell", entry, "sent to a box that has not its data");
  }
}

void InvariantChecker::OnOutcome(const LogEntry& entry) {
  Attempt* attempt = FindAttempt(entry);
  if (!attempt) {
    return;  // of a settled request: nothing follows from it
  }
  if (std::exchange(attempt->ended, true)) {
    Report("one-outcome", entry, "a second outcome of an attempt");
  }
  attempt->may_have_run = !HasNotRun(entry.value);
  if (HasNotRun(entry.value) && attempt->started) {
    Report("never-ran", entry, "told to have never run, and the box has run it");
  }
  EraseIfSettled(entry.request);
}

void InvariantChecker::OnResponse(const LogEntry& entry) {
  Request* request = Find(entry);
  if (!request) {
    return Report("known", entry, "an answer to a request that nobody has asked, or that is over");
  }
  if (request->answered) {
    return Report("one-answer", entry, "a second answer");
  }
  request->answered = true;
  if (entry.at > request->deadline + kResponseGrace) {
    Report("in-time", entry, "the answer came after the client's deadline");
  }
  const auto status = static_cast<core::ResponseStatus>(entry.value);
  if (status == core::ResponseStatus::kServed && request->completions == 0) {
    Report("served-unrun", entry, "told to be served and never run");
  }
  if (status == core::ResponseStatus::kRejected && request->not_idempotent) {
    // A rejection says that a retry is harmless, and the client will retry.
    for (const Attempt& attempt : request->attempts) {
      if (!attempt.ended || attempt.may_have_run) {
        Report("refused-run", entry, "refused though it may have run");
      }
    }
  }
  EraseIfSettled(entry.request);
}

void InvariantChecker::OnEndpointNotified(const LogEntry& entry) {
  Endpoint& endpoint = endpoints_[EndpointKey(entry.initiator, entry.server)];
  const auto state = static_cast<EndpointState>(entry.value);
  // The grace counts from the first notice of a drain; the end of the server does not begin a new one.
  if (state == EndpointState::kActive || endpoint.state == EndpointState::kActive) {
    endpoint.since = entry.at;
  }
  endpoint.state = state;
  endpoint.shard = entry.detail;
}

// ---- storage servers ----

void InvariantChecker::OnAccepted(const LogEntry& entry) {
  held_units_[entry.server] += entry.detail;
  const Attempt* attempt = FindAttempt(entry);
  if (attempt && attempt->server != entry.server) {
    Report("delivered", entry, "taken by a box that it was not sent to");
  }
}

void InvariantChecker::OnWorkStarted(const LogEntry& entry) {
  Request* request = Find(entry);
  if (!request) {
    return;
  }
  if (request->not_idempotent && std::exchange(request->started, true)) {
    Report("unsafe-twice", entry, "work that must not run twice has begun a second time");
  }
  if (Attempt* attempt = FindAttempt(entry)) {
    attempt->started = true;
  }
}

void InvariantChecker::OnWorkFinished(const LogEntry& entry) {
  held_units_[entry.server] -= entry.detail;
  if (Request* request = Find(entry)) {
    ++request->completions;
  }
}

void InvariantChecker::OnUnfinished(const LogEntry& entry) {
  const std::int64_t difference = held_units_[entry.server] - entry.detail;
  if (difference != 0) {
    Report("units", entry,
           "units that a box took are neither run nor dropped nor left: " + std::to_string(difference) +
               " thousandths");
  }
}

void InvariantChecker::OnEnd(const LogEntry& entry) {
  ended_ = true;
  for (const auto& [number, request] : requests_) {
    if (!request.answered && request.deadline + kResponseGrace < entry.at) {
      LogEntry unanswered = entry;
      unanswered.request = number;
      Report("unanswered", unanswered, "no answer by the end, and its deadline is over");
    }
  }
}

}  // namespace walnutspur::lab
