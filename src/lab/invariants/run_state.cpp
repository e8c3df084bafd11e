#include "lab/invariants/run_state.h"

#include <algorithm>

namespace walnutspur::lab::invariants {
namespace {

constexpr int kInitiatorShift = 32;

// Returns a key with the initiator in the upper half and the server in the lower half.
std::int64_t EndpointKey(int initiator, int server) {
  return static_cast<std::int64_t>(initiator) << kInitiatorShift | static_cast<std::uint32_t>(server);
}

int InitiatorOf(std::int64_t endpoint_key) { return static_cast<int>(endpoint_key >> kInitiatorShift); }

// Returns a pointer to the value of a key, or nullptr.
template <typename Map>
auto* Find(Map& map, const typename Map::key_type& key) {
  const auto found = map.find(key);
  return found == map.end() ? nullptr : &found->second;
}

// Returns an attempt by its number, or nullptr. `Request` may be const.
template <typename Request>
auto* NumberedAttempt(Request* request, int attempt) {
  const bool exists =
      request != nullptr && attempt >= 0 && attempt < static_cast<int>(request->attempts.size());
  return exists ? &request->attempts[static_cast<std::size_t>(attempt)] : nullptr;
}

}  // namespace

void RunState::Apply(const Event& event) {
  now_ = std::max(now_, event.at);
  std::visit([&](const auto& body) { Take(body, event.at); }, event.body);
}

// ---- lookups ----

const RequestState* RunState::FindRequest(RequestId request) const { return Find(requests_, request); }

const AttemptState* RunState::FindAttempt(RequestId request, int attempt) const {
  return NumberedAttempt(Find(requests_, request), attempt);
}

const KnownEndpoint* RunState::FindEndpoint(int initiator, int server) const {
  return Find(endpoints_, EndpointKey(initiator, server));
}

const ProcessHistory* RunState::FindProcess(int initiator) const { return Find(processes_, initiator); }

std::int64_t RunState::HeldUnits(int server) const {
  const std::int64_t* const units = Find(held_units_, server);
  return units == nullptr ? 0 : *units;
}

RequestState* RunState::MutableRequest(RequestId request) { return Find(requests_, request); }

AttemptState* RunState::MutableAttempt(RequestId request, int attempt) {
  return NumberedAttempt(Find(requests_, request), attempt);
}

// ---- requests ----

void RunState::Take(const RunLimits& event, Time /*at*/) { limits_ = event; }

void RunState::Take(const RequestSent& event, Time at) {
  if (!event.terms) {
    return;
  }
  RequestState request;
  request.initiator = event.initiator;
  request.shard = event.shard;
  request.sent_at = at;
  request.deadline = event.terms->deadline;
  request.is_idempotent = event.terms->is_idempotent;
  requests_.emplace(event.request, std::move(request));
}

void RunState::Take(const AttemptSent& event, Time /*at*/) {
  if (RequestState* const request = MutableRequest(event.request)) {
    AttemptState attempt;
    attempt.server = event.server;
    request->attempts.push_back(attempt);
  }
}

void RunState::Take(const AttemptEnded& event, Time /*at*/) {
  if (AttemptState* const attempt = MutableAttempt(event.request, event.attempt)) {
    attempt->ended = true;
    attempt->may_have_run = event.may_have_run;
    ForgetIfSettled(event.request);
  }
}

void RunState::Take(const ResponseReceived& event, Time /*at*/) {
  if (RequestState* const request = MutableRequest(event.request)) {
    request->has_response = true;
    ForgetIfSettled(event.request);
  }
}

void RunState::Take(const ClientDisconnected& event, Time at) {
  if (RequestState* const request = MutableRequest(event.request)) {
    request->disconnect = Disconnect{at, event.reason};
  }
}

void RunState::ForgetIfSettled(RequestId request) {
  const auto found = requests_.find(request);
  if (retention_ == Retention::kAllRequests || found == requests_.end() || !found->second.has_response ||
      !found->second.is_idempotent) {
    return;
  }
  const std::vector<AttemptState>& attempts = found->second.attempts;
  if (std::all_of(attempts.begin(), attempts.end(), [](const AttemptState& each) { return each.ended; })) {
    requests_.erase(found);
  }
}

// ---- endpoints and processes ----

void RunState::Take(const EndpointNotified& event, Time at) {
  KnownEndpoint& endpoint = endpoints_[EndpointKey(event.initiator, event.server)];
  if (event.is_active || endpoint.is_active) {
    endpoint.inactive_since = at;
  }
  endpoint.is_active = event.is_active;
  endpoint.notified_at = at;
  endpoint.shard = event.shard;
}

void RunState::Take(const ProcessStarted& event, Time at) {
  processes_[event.initiator].starts.push_back(at);
  std::erase_if(endpoints_, [&](const auto& each) { return InitiatorOf(each.first) == event.initiator; });
}

void RunState::Take(const ProcessTerminated& event, Time at) {
  processes_[event.initiator].terminations.push_back(at);
}

void RunState::Take(const ProcessKilled& event, Time at) { processes_[event.initiator].kills.push_back(at); }

// ---- storage servers ----

void RunState::Take(const AttemptAccepted& event, Time /*at*/) { held_units_[event.server] += event.units; }

void RunState::Take(const WorkStarted& event, Time /*at*/) {
  if (RequestState* const request = MutableRequest(event.request)) {
    request->started = true;
  }
  if (AttemptState* const attempt = MutableAttempt(event.request, event.attempt)) {
    attempt->started = true;
  }
}

void RunState::Take(const WorkFinished& event, Time /*at*/) {
  held_units_[event.server] -= event.units;
  if (RequestState* const request = MutableRequest(event.request)) {
    ++request->completions;
  }
}

void RunState::Take(const WorkDropped& event, Time /*at*/) { held_units_[event.server] -= event.units; }

void RunState::Take(const RunEnded& /*event*/, Time /*at*/) { ended_ = true; }

}  // namespace walnutspur::lab::invariants
