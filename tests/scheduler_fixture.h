// A hand on the module: plays single events and keeps the actions. It models no node.
#ifndef WALNUTSPUR_TESTS_SCHEDULER_FIXTURE_H_
#define WALNUTSPUR_TESTS_SCHEDULER_FIXTURE_H_

#include <string>
#include <utility>
#include <vector>

#include "walnutspur/scheduler.h"

namespace walnutspur::test {

constexpr Time kMs = 1'000;
constexpr Time kSec = 1'000'000;

// Class 0 safe, 1 unsafe, 2 keyed; plan 0 without a limit, plan 1 with one.
inline Settings Basic() {
  Settings s;
  RequestClass read;
  read.latency_objective = 400 * kMs;
  read.deadline = 2 * kSec;
  read.priority_weight = 3;
  read.late_weight_fraction = 0.1;
  RequestClass write = read;
  write.idempotency = Idempotency::kNotIdempotent;
  RequestClass keyed = read;
  keyed.idempotency = Idempotency::kIdempotentWithKey;
  keyed.deduplication_scope = DeduplicationScope::kShard;
  keyed.deduplication_window = 500 * kMs;
  s.classes = {read, write, keyed};
  Plan open;
  open.rate = 10;
  open.reserved_rate = 8;
  Plan limited = open;
  limited.limit = 20;
  limited.burst = 24;
  s.plans = {open, limited};
  s.rules.poll_interval = 10 * kSec;
  s.rules.drain_grace = kSec;
  s.rules.answer_grace = 8 * kMs;
  s.rules.slow_start_fraction = 0.2;
  s.rules.slow_start_duration = 10 * kSec;
  s.rules.overload_threshold = 4;
  s.rules.overload_window = kSec;
  s.max_attempts = 4;
  s.sends_retry_after = true;
  s.max_retry_after = kSec;
  s.slow_start_units = 20;
  s.mean_request_units = 2;
  s.max_request_units = 6;
  s.fair_share_weight = 0.4;
  s.excess_weight = 0.1;
  return s;
}

class SchedulerFixture {
 public:
  explicit SchedulerFixture(const Settings& settings = Basic(), Time start = 1'000 * kSec)
      : settings_(settings), scheduler_(settings, 7), now_(start) {
    Play(Started{});
  }

  std::vector<Action> Play(const Event& event) {
    std::vector<Action> actions = scheduler_.Handle(event, now_);
    all_.insert(all_.end(), actions.begin(), actions.end());
    return actions;
  }

  void List(EndpointUpdateKind mode, std::vector<Endpoint> entries) {
    Play(EndpointUpdate{mode, std::move(entries)});
  }

  // `count` live targets t0, t1, ... that hold cells 0, 1, ...
  void Fleet(int count) {
    std::vector<Endpoint> entries;
    for (int i = 0; i < count; ++i) entries.push_back(Entry("t" + std::to_string(i), i));
    List(EndpointUpdateKind::kFull, entries);
  }

  static Endpoint Entry(const std::string& target, int cell, EndpointState phase = EndpointState::kActive,
                        Time launched = 0) {
    Endpoint e;
    e.target = target;
    e.shard = cell;
    e.state = phase;
    e.started_at = launched;
    return e;
  }

  static RequestArrived Request(const std::string& id, int request_class = 0, int cell = 0) {
    RequestArrived a;
    a.id = id;
    a.request_class = request_class;
    a.volume = "v";
    a.key = "k" + id;
    a.ttl = 2 * kSec;
    a.units = 2;
    a.shard = cell;
    return a;
  }

  std::vector<Action> End(const std::string& id, Outcome outcome, Time delay = 20 * kMs, int trial = 0,
                          const std::string& target = "t0", bool settled = false) {
    AttemptFinished d;
    d.id = id;
    d.attempt = trial;
    d.target = target;
    d.outcome = outcome;
    d.latency = delay;
    d.request_finished = settled || outcome == Outcome::kCompleted;
    return Play(d);
  }

  // Lets time pass with the module's own 20 ms timer.
  void Pass(Time span) {
    const Time until = now_ + span;
    while (now_ + 20 * kMs <= until) {
      now_ += 20 * kMs;
      Play(TimerFired{0});
    }
    now_ = until;
  }

  template <typename T>
  std::vector<T> Of() const {
    std::vector<T> found;
    for (const Action& a : all_) {
      if (const T* t = std::get_if<T>(&a)) found.push_back(*t);
    }
    return found;
  }

  int Sends(const std::string& id) const {
    int n = 0;
    for (const SendAttempt& s : Of<SendAttempt>()) n += s.id == id;
    return n;
  }
  int Refusals(const std::string& id) const {
    int n = 0;
    for (const RejectRequest& r : Of<RejectRequest>()) n += r.id == id;
    return n;
  }
  int Failures(const std::string& id) const {
    int n = 0;
    for (const FailRequest& f : Of<FailRequest>()) n += f.id == id;
    return n;
  }
  int Finals(const std::string& id) const { return Refusals(id) + Failures(id); }

  Time now() const { return now_; }
  void Clear() { all_.clear(); }

 private:
  Settings settings_;
  Scheduler scheduler_;
  Time now_;
  std::vector<Action> all_;
};

}  // namespace walnutspur::test

#endif  // WALNUTSPUR_TESTS_SCHEDULER_FIXTURE_H_
