#include "core/engine.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace walnutspur::core {

Engine::Engine(const Settings& settings, std::uint64_t seed) : Engine(settings, DecisionFunction()) {
  scheduler_ = std::make_unique<Scheduler>(settings, seed);
  decide_ = [scheduler = scheduler_.get()](const Event& event, Time now) {
    return scheduler->Handle(event, now);
  };
}

Engine::Engine(const Settings& settings, DecisionFunction decide)
    : decide_(std::move(decide)), try_limit_(settings.max_attempts) {
  for (const RequestClass& cls : settings.classes) aims_.push_back(cls.latency_objective);
}

std::vector<Output> Engine::Start(Time now) {
  now_ = now;
  Play(Started{});
  return std::exchange(outputs_, {});
}

std::vector<Output> Engine::Handle(const Input& input, Time now) {
  now_ = std::max(now_, now);
  std::visit([this](const auto& i) { On(i); }, input);
  return std::exchange(outputs_, {});
}

void Engine::Play(const Event& event) {
  pending_.push_back(event);
  while (!pending_.empty()) {
    const Event next = std::move(pending_.front());
    pending_.erase(pending_.begin());
    for (const Action& action : decide_(next, now_)) std::visit([this](const auto& a) { Do(a); }, action);
  }
}

// ---- inputs ----

void Engine::On(const RequestReceived& input) {
  // An id that is still open, be it by an attempt of an answered request, is refused outright: a target that
  // saw it twice could not tell the two apart.
  if (!input.client_request_id.empty() && !names_.insert(input.client_request_id).second) {
    outputs_.push_back(Response{input.request, input.protocol, ResponseStatus::kDuplicate, 0, nullptr});
    return;
  }
  Request request;
  request.wire = input.protocol;
  request.name = input.client_request_id;
  request.deadline = input.deadline;
  request.payload = input.payload;
  const auto cls = static_cast<std::size_t>(input.attributes.request_class);
  request.aim = now_ + (cls < aims_.size() ? aims_[cls] : 0);
  if (!requests_.emplace(input.request, std::move(request)).second) return;
  RequestArrived arrival = input.attributes;
  arrival.id = std::to_string(input.request);  // clients may use an id again later
  arrival.ttl = input.deadline - now_;
  Play(arrival);
}

void Engine::On(const ClientClosed& input) {
  const auto at = requests_.find(input.request);
  if (at == requests_.end() || at->second.answered) return;
  at->second.answered = true;
  Play(ClientDisconnected{std::to_string(input.request)});
  Forget(input.request);
}

// Guards against a request whose deadline passes unnoticed: attempts end on their own timers first, and held
// requests are swept by the module. What is still open now is timed out, whatever its attempts say later.
void Engine::On(const DeadlineExpired& input) {
  auto at = requests_.find(input.request);
  if (at == requests_.end() || at->second.answered) return;
  const auto out = at->second.out;
  for (const auto& [trial, target] : out) {
    at = requests_.find(input.request);
    if (at == requests_.end()) return;
    outputs_.push_back(AbortAttempt{input.request, trial, at->second.wire});
    AttemptResult ended;
    ended.request = input.request;
    ended.attempt = trial;
    ended.outcome = Outcome::kTimedOut;
    Report(at, ended);
  }
  at = requests_.find(input.request);
  if (at == requests_.end() || at->second.answered) return;
  Finish(input.request, ResponseStatus::kTimedOut, 0, nullptr);
  Play(ClientDisconnected{std::to_string(input.request)});
  Forget(input.request);
}

void Engine::On(const AttemptResult& input) {
  const auto at = requests_.find(input.request);
  if (at == requests_.end()) return;
  Report(at, input);
}

void Engine::On(const EndpointsUpdated& input) {
  Play(input.update);
  std::set<TargetId> gone;  // a complete list names all that is left
  if (input.update.kind == EndpointUpdateKind::kFull || input.update.kind == EndpointUpdateKind::kCached)
    gone.swap(live_);
  for (const Endpoint& entry : input.update.endpoints) {
    gone.erase(entry.target);
    if (entry.state == EndpointState::kActive) {
      if (live_.insert(entry.target).second)
        outputs_.push_back(ActivateTarget{entry.target, entry.started_at});
    } else if (live_.erase(entry.target) > 0 || input.update.kind != EndpointUpdateKind::kDelta) {
      outputs_.push_back(DrainTarget{entry.target});
    }
  }
  for (const TargetId& target : gone) outputs_.push_back(DrainTarget{target});
}

void Engine::On(const TimerExpired& input) { Play(TimerFired{input.timer_id}); }

void Engine::On(const HealthCheckResult& input) { Play(input.result); }

// Each attempt's outcome reaches the module once: a second report of it, or one of an attempt that was given
// up by the deadline, finds nothing here.
void Engine::Report(Requests::iterator at, const AttemptResult& input) {
  Request& request = at->second;
  const auto attempt = request.out.find(input.attempt);
  if (attempt == request.out.end()) return;
  AttemptFinished done;
  done.id = std::to_string(input.request);
  done.attempt = input.attempt;
  done.target = std::move(attempt->second);
  done.outcome = input.outcome;
  done.latency = input.latency;
  done.reported_usage = input.reported_usage;
  done.units_served_elsewhere = input.units_served_elsewhere;
  done.load_report = input.load_report;
  request.out.erase(attempt);
  --out_;
  if (input.outcome == Outcome::kCorrupted) request.partial = input.payload;
  if (input.outcome == Outcome::kCompleted) Finish(input.request, ResponseStatus::kServed, 0, input.payload);
  done.request_finished = request.answered;
  Play(done);
  Forget(input.request);
}

// ---- actions ----

Engine::Requests::iterator Engine::Find(const RequestId& id) {
  RequestNumber serial = 0;
  std::from_chars(id.data(), id.data() + id.size(), serial);
  return requests_.find(serial);
}

void Engine::Do(const SendAttempt& action) {
  const auto at = Find(action.id);
  if (at == requests_.end()) return;
  Request& request = at->second;
  const int trial = request.attempts;
  const Time left = request.deadline - now_;
  // A moot send is not transmitted and uses up no attempt of the request.
  if (request.answered || trial >= try_limit_ || left <= 0 || action.timeout < 0) {
    AttemptFinished done;
    done.id = action.id;
    done.attempt = request.attempts++;
    done.target = action.target;
    done.outcome = Outcome::kNotSent;
    done.request_finished = request.answered;
    pending_.push_back(done);
    return;
  }
  ++request.attempts;
  request.out.emplace(trial, action.target);
  ++out_;
  const Time limit = action.timeout > 0 ? std::min(action.timeout, left) : left;
  outputs_.push_back(
      StartAttempt{at->first, trial, request.wire, action.target, limit, request.payload, action.not_after});
}

void Engine::Do(const RejectRequest& action) {
  const auto at = Find(action.id);
  if (at == requests_.end()) return;
  Finish(at->first, ResponseStatus::kRejected, action.retry_after, at->second.partial);
  Forget(at->first);
}

void Engine::Do(const FailRequest& action) {
  const auto at = Find(action.id);
  if (at == requests_.end()) return;
  const bool late = now_ >= at->second.deadline;
  Finish(at->first, late ? ResponseStatus::kTimedOut : ResponseStatus::kFailed, 0, at->second.partial);
  Forget(at->first);
}

void Engine::Do(const StartTimer& action) { outputs_.push_back(ArmTimer{action.timer_id, action.delay}); }

void Engine::Do(const CancelAttempt& action) {
  const auto at = Find(action.id);
  if (at == requests_.end() || !at->second.out.contains(action.attempt)) return;
  outputs_.push_back(AbortAttempt{at->first, action.attempt, at->second.wire});
}

void Engine::Do(const CheckHealth& action) { outputs_.push_back(StartHealthCheck{action.target}); }

void Engine::Do(const WatchEndpoints&) { outputs_.push_back(OpenWatch{}); }

// Exactly one final answer: whoever comes second finds the request answered.
void Engine::Finish(RequestNumber serial, ResponseStatus verdict, Time hold_off, PayloadRef payload) {
  const auto at = requests_.find(serial);
  if (at == requests_.end() || at->second.answered) return;
  at->second.answered = true;
  Response answer{serial, at->second.wire, verdict, hold_off, std::move(payload)};
  answer.met_objective = verdict == ResponseStatus::kServed && now_ <= at->second.aim;
  const auto open = static_cast<double>(requests_.size());
  answer.queued_fraction = std::max(0.0, (open - static_cast<double>(out_)) / open);
  outputs_.push_back(std::move(answer));
}

// A request is forgotten once it is answered and nothing of it is out.
void Engine::Forget(RequestNumber serial) {
  const auto at = requests_.find(serial);
  if (at == requests_.end() || !at->second.answered || !at->second.out.empty()) return;
  names_.erase(at->second.name);
  requests_.erase(at);
}

}  // namespace walnutspur::core
