#include "core/engine.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>
#include <variant>

#include "decision/request.h"

namespace walnutspur::core {
namespace {

// Time for which the id of a request that may have run is kept, us: longer than any client waits.
constexpr Time kRequestIdLifetime = 60'000'000;

// Time in which a front end has passed on a response or found that its client has left, us, and the maximum
// number of requests in that time.
constexpr Time kDeliveryTime = 1'000'000;
constexpr std::size_t kMaxServedIds = 1'024;

}  // namespace

Engine::Engine(const Settings& settings, std::uint64_t seed) : Engine(settings, DecisionFunction()) {
  scheduler_ = std::make_unique<Scheduler>(settings, seed);
  decide_ = [scheduler = scheduler_.get()](const Event& event, Time now) {
    return scheduler->Handle(event, now);
  };
}

Engine::Engine(const Settings& settings, DecisionFunction decide)
    : decide_(std::move(decide)), executed_ids_(kRequestIdLifetime) {
  ReadSettings(settings);
}

void Engine::ReadSettings(const Settings& settings) {
  max_attempts_ = settings.max_attempts;
  latency_objectives_.clear();
  are_idempotent_.clear();
  for (const RequestClass& request_class : settings.classes) {
    latency_objectives_.push_back(request_class.latency_objective);
    are_idempotent_.push_back(request_class.idempotency == Idempotency::kIdempotent);
  }
  max_flows_ = settings.tables.max_flows;
  executed_ids_.set_max_size(settings.tables.max_request_ids);
}

std::vector<Output> Engine::Start(Time now) {
  now_ = now;
  ProcessEvent(Started{});
  return std::exchange(outputs_, {});
}

std::vector<Output> Engine::Handle(const Input& input, Time now) {
  now_ = std::max(now_, now);
  std::visit([this](const auto& alternative) { HandleInput(alternative); }, input);
  return std::exchange(outputs_, {});
}

void Engine::ProcessEvent(const Event& event) {
  pending_events_.emplace_back(event);
  while (!pending_events_.empty()) {
    const Event next = std::move(pending_events_.front());
    pending_events_.erase(pending_events_.begin());
    for (const Action& action : decide_(next, now_)) {
      std::visit([this](const auto& alternative) { ExecuteAction(alternative); }, action);
    }
  }
}

// ---- inputs ----

void Engine::HandleInput(const RequestReceived& input) {
  // A client's request id stays in use until the last attempt of the request has an outcome: a target that
  // received the same id from two requests could not distinguish them. Without the response
  // of a target it must not run again after that either, unless its class allows that or no attempt has run.
  const std::string& id = input.client_request_id;
  if (!id.empty() && (executed_ids_.Contains(id, now_) || !client_request_ids_.insert(id).second)) {
    outputs_.emplace_back(Response{input.request, input.protocol, ResponseStatus::kDuplicate, 0, nullptr});
    return;
  }
  RequestState request;
  request.protocol = input.protocol;
  request.client_request_id = input.client_request_id;
  request.deadline = input.deadline;
  request.payload = input.payload;
  const auto request_class = static_cast<std::size_t>(input.attributes.request_class);
  const Time objective =
      request_class < latency_objectives_.size() ? latency_objectives_[request_class] : Time{0};
  request.objective_deadline = now_ + objective;
  request.is_idempotent = request_class >= are_idempotent_.size() || are_idempotent_[request_class];
  if (!requests_.emplace(input.request, std::move(request)).second) {
    return;
  }
  RequestArrived arrival = input.attributes;
  arrival.id = std::to_string(input.request);  // unlike the client's id, never reused
  arrival.ttl = input.deadline - now_;
  ProcessEvent(arrival);
}

void Engine::HandleInput(const ClientClosed& input) {
  const auto position = requests_.find(input.request);
  if (position == requests_.end()) {
    OnResponseUndelivered(input.request);
    return;
  }
  if (position->second.finished) {
    position->second.was_served = false;  // its client did not get the response
    return;
  }
  position->second.finished = true;
  ProcessEvent(ClientDisconnected{std::to_string(input.request), input.waited});
  EraseIfClosed(input.request);
}

// A fallback: normally attempts end by their own timeouts, and the Scheduler expires queued requests. A
// request that is still open now times out, whatever outcome its attempts report later.
void Engine::HandleInput(const DeadlineExpired& input) {
  TimeOutAttempts(input.request);
  const auto position = requests_.find(input.request);
  if (position == requests_.end() || position->second.finished) {
    return;
  }
  SendResponse(input.request, ResponseStatus::kTimedOut, 0, nullptr);
  // For the Scheduler this is the same as a disconnect: no response is due any more, and attempts may be
  // cancelled.
  ProcessEvent(ClientDisconnected{std::to_string(input.request)});
  EraseIfClosed(input.request);
}

void Engine::TimeOutAttempts(RequestNumber number) {
  auto position = requests_.find(number);
  if (position == requests_.end() || position->second.finished) {
    return;
  }
  // Iterates over a copy, because completing an attempt changes the table and may erase the request.
  const std::map<int, TargetId> attempts = position->second.open_attempts;
  for (const auto& [attempt, target] : attempts) {
    position = requests_.find(number);
    if (position == requests_.end()) {
      return;
    }
    outputs_.emplace_back(AbortAttempt{number, attempt, position->second.protocol});
    AttemptResult result;
    result.request = number;
    result.attempt = attempt;
    result.outcome = Outcome::kTimedOut;
    CompleteAttempt(position, result);
  }
}

void Engine::HandleInput(const AttemptResult& input) {
  const auto position = requests_.find(input.request);
  if (position == requests_.end()) {
    return;
  }
  CompleteAttempt(position, input);
}

void Engine::HandleInput(const EndpointsUpdated& input) { UpdateEndpoints(cordons_.Overlay(input.update)); }

void Engine::HandleInput(const CordonRequested& input) {
  const std::optional<EndpointUpdate> update = ChangeCordon(input);
  if (update) {
    UpdateEndpoints(*update);
  }
  if (!input.is_adopted) {
    outputs_.emplace_back(CordonResult{input.call, input.target, input.cordoned, update.has_value()});
  }
}

void Engine::HandleInput(const SettingsChanged& input) {
  ReadSettings(input.settings);
  ProcessEvent(input);
}

std::optional<EndpointUpdate> Engine::ChangeCordon(const CordonRequested& input) {
  if (!input.cordoned) {
    return cordons_.Uncordon(input.target, now_);
  }
  return input.is_adopted ? cordons_.Adopt(input.target, now_) : cordons_.Cordon(input.target, now_);
}

void Engine::UpdateEndpoints(const EndpointUpdate& update) {
  ProcessEvent(update);
  const EndpointUpdateKind kind = update.kind;
  std::set<TargetId> unlisted;  // a complete list drains the targets that it omits
  if (kind == EndpointUpdateKind::kFull || kind == EndpointUpdateKind::kCached) {
    unlisted.swap(active_targets_);
  }
  for (const Endpoint& endpoint : update.endpoints) {
    unlisted.erase(endpoint.target);
    if (endpoint.state == EndpointState::kActive) {
      if (active_targets_.insert(endpoint.target).second) {
        outputs_.emplace_back(ActivateTarget{endpoint.target, endpoint.started_at});
      }
    } else if (active_targets_.erase(endpoint.target) > 0 || kind != EndpointUpdateKind::kDelta) {
      outputs_.emplace_back(DrainTarget{endpoint.target});
    }
  }
  for (const TargetId& target : unlisted) {
    outputs_.emplace_back(DrainTarget{target});
  }
}

void Engine::HandleInput(const TimerExpired& input) { ProcessEvent(TimerFired{input.timer_id}); }

void Engine::HandleInput(const HealthCheckResult& input) { ProcessEvent(input.result); }

// The Scheduler receives exactly one outcome for each attempt: for a second report, or for a report about an
// attempt that was timed out at the deadline, there is no open attempt here, and the report is ignored.
void Engine::CompleteAttempt(RequestTable::iterator position, const AttemptResult& input) {
  RequestState& request = position->second;
  const auto attempt = request.open_attempts.find(input.attempt);
  if (attempt == request.open_attempts.end()) {
    return;
  }
  AttemptFinished finished;
  finished.id = std::to_string(input.request);
  finished.attempt = input.attempt;
  finished.target = std::move(attempt->second);
  finished.outcome = input.outcome;
  finished.latency = input.latency;
  finished.reported_usage = input.reported_usage;
  finished.units_served_elsewhere = input.units_served_elsewhere;
  finished.load_report = input.load_report;
  request.open_attempts.erase(attempt);
  --open_attempts_;
  request.may_have_run = request.may_have_run || decision::MayHaveRun(input.outcome);
  if (input.outcome == Outcome::kCorrupted) {
    request.partial_payload = input.payload;
  }
  if (input.outcome == Outcome::kCompleted) {
    SendResponse(input.request, ResponseStatus::kServed, 0, input.payload);
  }
  finished.request_finished = request.finished;
  ProcessEvent(finished);
  EraseIfClosed(input.request);
}

// ---- actions ----

Engine::RequestTable::iterator Engine::FindRequest(const RequestId& id) {
  RequestNumber number = 0;
  std::from_chars(id.data(), id.data() + id.size(), number);
  return requests_.find(number);
}

void Engine::ExecuteAction(const SendAttempt& action) {
  const auto position = FindRequest(action.id);
  if (position == requests_.end()) {
    return;
  }
  RequestState& request = position->second;
  const int attempt = request.attempts;
  const Time remaining = request.deadline - now_;
  // An attempt that can no longer affect the response is not sent. It still uses up an attempt number,
  // because the Scheduler has counted it.
  if (request.finished || attempt >= max_attempts_ || remaining <= 0 || action.timeout < 0) {
    AttemptFinished finished;
    finished.id = action.id;
    finished.attempt = request.attempts++;
    finished.target = action.target;
    finished.outcome = Outcome::kNotSent;
    finished.request_finished = request.finished;
    pending_events_.emplace_back(finished);
    return;
  }
  ++request.attempts;
  request.open_attempts.emplace(attempt, action.target);
  ++open_attempts_;
  const Time timeout = action.timeout > 0 ? std::min(action.timeout, remaining) : remaining;
  outputs_.emplace_back(StartAttempt{position->first, attempt, request.protocol, action.target, timeout,
                                     request.payload, action.not_after, now_ + timeout});
}

void Engine::ExecuteAction(const RejectRequest& action) {
  const auto position = FindRequest(action.id);
  if (position == requests_.end()) {
    return;
  }
  const RequestNumber number = position->first;
  if (action.reason == RejectionReason::kTableFull) {
    outputs_.emplace_back(TableLimitReached{LimitedTable::kFlows, max_flows_});
  }
  SendResponse(number, ResponseStatus::kRejected, action.retry_after, position->second.partial_payload);
  EraseIfClosed(number);
}

void Engine::ExecuteAction(const FailRequest& action) {
  const auto position = FindRequest(action.id);
  if (position == requests_.end()) {
    return;
  }
  const RequestNumber number = position->first;
  const bool expired = now_ >= position->second.deadline;
  const ResponseStatus status = expired ? ResponseStatus::kTimedOut : ResponseStatus::kFailed;
  SendResponse(number, status, 0, position->second.partial_payload);
  EraseIfClosed(number);
}

void Engine::ExecuteAction(const StartTimer& action) {
  outputs_.emplace_back(ArmTimer{action.timer_id, action.delay});
}

void Engine::ExecuteAction(const CancelAttempt& action) {
  const auto position = FindRequest(action.id);
  if (position == requests_.end() || !position->second.open_attempts.contains(action.attempt)) {
    return;
  }
  outputs_.emplace_back(AbortAttempt{position->first, action.attempt, position->second.protocol});
}

void Engine::ExecuteAction(const CheckHealth& action) {
  outputs_.emplace_back(StartHealthCheck{action.target});
}

void Engine::ExecuteAction(const WatchEndpoints& /*action*/) { outputs_.emplace_back(OpenWatch{}); }

void Engine::SendResponse(RequestNumber number, ResponseStatus status, Time retry_after, PayloadRef payload) {
  const auto position = requests_.find(number);
  if (position == requests_.end() || position->second.finished) {
    return;
  }
  RequestState& request = position->second;
  request.finished = true;
  request.was_served = status == ResponseStatus::kServed;
  Response response{number, request.protocol, status, retry_after, std::move(payload)};
  response.met_objective = status == ResponseStatus::kServed && now_ <= request.objective_deadline;
  const auto open = static_cast<double>(requests_.size());
  response.queued_fraction = std::max(0.0, (open - static_cast<double>(open_attempts_)) / open);
  outputs_.emplace_back(std::move(response));
}

void Engine::EraseIfClosed(RequestNumber number) {
  const auto position = requests_.find(number);
  if (position == requests_.end()) {
    return;
  }
  const RequestState& request = position->second;
  if (!request.finished || !request.open_attempts.empty()) {
    return;
  }
  client_request_ids_.erase(request.client_request_id);
  RememberId(number, request);
  requests_.erase(position);
}

void Engine::RememberId(RequestNumber number, const RequestState& request) {
  if (request.client_request_id.empty() || request.is_idempotent || !request.may_have_run) {
    return;
  }
  if (!request.was_served) {
    RememberId(request.client_request_id);
    return;
  }
  served_ids_.push_back({number, request.client_request_id, now_});
  while (now_ - served_ids_.front().served_at > kDeliveryTime || served_ids_.size() > kMaxServedIds) {
    served_ids_.pop_front();
  }
}

void Engine::RememberId(const std::string& id) {
  if (!executed_ids_.Contains(id, now_) && executed_ids_.Add(id, now_)) {
    outputs_.emplace_back(TableLimitReached{LimitedTable::kRequestIds, executed_ids_.size()});
  }
}

void Engine::OnResponseUndelivered(RequestNumber number) {
  const auto served = std::find_if(served_ids_.begin(), served_ids_.end(),
                                   [number](const ServedId& each) { return each.request == number; });
  if (served != served_ids_.end()) {
    RememberId(served->id);
    served_ids_.erase(served);
  }
}

}  // namespace walnutspur::core
