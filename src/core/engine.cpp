#include "core/engine.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace walnutspur::core {

Engine::Engine(const Settings& settings, std::uint64_t seed) : Engine(settings, Decide()) {
  scheduler_ = std::make_unique<Scheduler>(settings, seed);
  decide_ = [scheduler = scheduler_.get()](const Event& event, Time now) {
    return scheduler->Handle(event, now);
  };
}

Engine::Engine(const Settings& settings, Decide decide)
    : decide_(std::move(decide)), try_limit_(settings.try_limit) {
  for (const RequestClass& cls : settings.classes) aims_.push_back(cls.aim);
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

void Engine::On(const Arrived& input) {
  // An id that is still open, be it by an attempt of an answered request, is refused outright: a target that
  // saw it twice could not tell the two apart.
  if (!input.name.empty() && !names_.insert(input.name).second) {
    outputs_.push_back(Answer{input.serial, input.wire, Verdict::kRepeated, 0, nullptr});
    return;
  }
  Request request;
  request.wire = input.wire;
  request.name = input.name;
  request.deadline = input.deadline;
  request.payload = input.payload;
  const auto cls = static_cast<std::size_t>(input.what.request_class);
  request.aim = now_ + (cls < aims_.size() ? aims_[cls] : 0);
  if (!requests_.emplace(input.serial, std::move(request)).second) return;
  Arrival arrival = input.what;
  arrival.id = std::to_string(input.serial);  // clients may use an id again later
  arrival.ttl = input.deadline - now_;
  Play(arrival);
}

void Engine::On(const Departed& input) {
  const auto at = requests_.find(input.serial);
  if (at == requests_.end() || at->second.answered) return;
  at->second.answered = true;
  Play(Abandoned{std::to_string(input.serial)});
  Forget(input.serial);
}

// Guards against a request whose deadline passes unnoticed: attempts end on their own timers first, and held
// requests are swept by the module. What is still open now is timed out, whatever its attempts say later.
void Engine::On(const Expired& input) {
  auto at = requests_.find(input.serial);
  if (at == requests_.end() || at->second.answered) return;
  const auto out = at->second.out;
  for (const auto& [trial, target] : out) {
    at = requests_.find(input.serial);
    if (at == requests_.end()) return;
    outputs_.push_back(Cancel{input.serial, trial, at->second.wire});
    Ended ended;
    ended.serial = input.serial;
    ended.trial = trial;
    ended.outcome = Outcome::kOverdue;
    Report(at, ended);
  }
  at = requests_.find(input.serial);
  if (at == requests_.end() || at->second.answered) return;
  Finish(input.serial, Verdict::kTimedOut, 0, nullptr);
  Play(Abandoned{std::to_string(input.serial)});
  Forget(input.serial);
}

void Engine::On(const Ended& input) {
  const auto at = requests_.find(input.serial);
  if (at == requests_.end()) return;
  Report(at, input);
}

void Engine::On(const Listed& input) {
  Play(input.list);
  std::set<TargetId> gone;  // a complete list names all that is left
  if (input.list.mode == Mode::kFull || input.list.mode == Mode::kCached) gone.swap(live_);
  for (const ListEntry& entry : input.list.entries) {
    gone.erase(entry.target);
    if (entry.phase == Phase::kLive) {
      if (live_.insert(entry.target).second) outputs_.push_back(Welcome{entry.target, entry.launched});
    } else if (live_.erase(entry.target) > 0 || input.list.mode != Mode::kDelta) {
      outputs_.push_back(Withdraw{entry.target});
    }
  }
  for (const TargetId& target : gone) outputs_.push_back(Withdraw{target});
}

void Engine::On(const Rang& input) { Play(Bell{input.mark}); }

void Engine::On(const Probed& input) { Play(input.result); }

// Each attempt's outcome reaches the module once: a second report of it, or one of an attempt that was given
// up by the deadline, finds nothing here.
void Engine::Report(Requests::iterator at, const Ended& input) {
  Request& request = at->second;
  const auto attempt = request.out.find(input.trial);
  if (attempt == request.out.end()) return;
  Done done;
  done.id = std::to_string(input.serial);
  done.trial = input.trial;
  done.target = std::move(attempt->second);
  done.outcome = input.outcome;
  done.delay = input.delay;
  done.seen_use = input.seen_use;
  done.others_got = input.others_got;
  done.report = input.report;
  request.out.erase(attempt);
  --out_;
  if (input.outcome == Outcome::kDamaged) request.partial = input.payload;
  if (input.outcome == Outcome::kCompleted) Finish(input.serial, Verdict::kServed, 0, input.payload);
  done.settled = request.answered;
  Play(done);
  Forget(input.serial);
}

// ---- actions ----

Engine::Requests::iterator Engine::Find(const RequestId& id) {
  Serial serial = 0;
  std::from_chars(id.data(), id.data() + id.size(), serial);
  return requests_.find(serial);
}

void Engine::Do(const Send& action) {
  const auto at = Find(action.id);
  if (at == requests_.end()) return;
  Request& request = at->second;
  const int trial = request.attempts;
  const Time left = request.deadline - now_;
  // A moot send is not transmitted and uses up no attempt of the request.
  if (request.answered || trial >= try_limit_ || left <= 0 || action.try_for < 0) {
    Done done;
    done.id = action.id;
    done.trial = request.attempts++;
    done.target = action.target;
    done.outcome = Outcome::kSuperseded;
    done.settled = request.answered;
    pending_.push_back(done);
    return;
  }
  ++request.attempts;
  request.out.emplace(trial, action.target);
  ++out_;
  const Time limit = action.try_for > 0 ? std::min(action.try_for, left) : left;
  outputs_.push_back(
      Attempt{at->first, trial, request.wire, action.target, limit, request.payload, action.begin_by});
}

void Engine::Do(const Refuse& action) {
  const auto at = Find(action.id);
  if (at == requests_.end()) return;
  Finish(at->first, Verdict::kRefused, action.hold_off, at->second.partial);
  Forget(at->first);
}

void Engine::Do(const Fail& action) {
  const auto at = Find(action.id);
  if (at == requests_.end()) return;
  const bool late = now_ >= at->second.deadline;
  Finish(at->first, late ? Verdict::kTimedOut : Verdict::kFailed, 0, at->second.partial);
  Forget(at->first);
}

void Engine::Do(const Wake& action) { outputs_.push_back(Ring{action.mark, action.after}); }

void Engine::Do(const Retract& action) {
  const auto at = Find(action.id);
  if (at == requests_.end() || !at->second.out.contains(action.trial)) return;
  outputs_.push_back(Cancel{at->first, action.trial, at->second.wire});
}

void Engine::Do(const Probe& action) { outputs_.push_back(Check{action.target}); }

void Engine::Do(const Subscribe&) { outputs_.push_back(Watch{}); }

// Exactly one final answer: whoever comes second finds the request answered.
void Engine::Finish(Serial serial, Verdict verdict, Time hold_off, PayloadRef payload) {
  const auto at = requests_.find(serial);
  if (at == requests_.end() || at->second.answered) return;
  at->second.answered = true;
  Answer answer{serial, at->second.wire, verdict, hold_off, std::move(payload)};
  answer.in_aim = verdict == Verdict::kServed && now_ <= at->second.aim;
  const auto open = static_cast<double>(requests_.size());
  answer.waiting = std::max(0.0, (open - static_cast<double>(out_)) / open);
  outputs_.push_back(std::move(answer));
}

// A request is forgotten once it is answered and nothing of it is out.
void Engine::Forget(Serial serial) {
  const auto at = requests_.find(serial);
  if (at == requests_.end() || !at->second.answered || !at->second.out.empty()) return;
  names_.erase(at->second.name);
  requests_.erase(at);
}

}  // namespace walnutspur::core
