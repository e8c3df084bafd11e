// Fixture that passes single events to a Scheduler at a simulated time and records all returned actions.
//
// It does not simulate targets: tests finish attempts themselves. Owned by each test, used on the test's
// thread.
#ifndef WALNUTSPUR_TESTS_SCHEDULER_SCHEDULER_FIXTURE_H_
#define WALNUTSPUR_TESTS_SCHEDULER_SCHEDULER_FIXTURE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "walnutspur/scheduler.h"

namespace walnutspur::test {

// Simulated time is counted in microseconds.
constexpr Time kMs = 1'000;
constexpr Time kSec = 1'000'000;

// Seed of the scheduler's random number generator.
constexpr std::uint64_t kSchedulerSeed = 7;
// Period of the scheduler's timer.
constexpr Time kTimerPeriod = 20 * kMs;

// Returns settings with class 0 idempotent, class 1 not idempotent and class 2 idempotent with a key, plan 0
// without a limit and plan 1 with a limit.
inline Settings BasicSettings() {
  Settings settings;
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
  settings.classes = {read, write, keyed};
  Plan open;
  open.rate = 10;
  open.reserved_rate = 8;
  Plan limited = open;
  limited.limit = 20;
  limited.burst = 24;
  settings.plans = {open, limited};
  settings.rules.poll_interval = 10 * kSec;
  settings.rules.drain_grace = kSec;
  settings.rules.response_grace = 8 * kMs;
  settings.rules.slow_start_fraction = 0.2;
  settings.rules.slow_start_duration = 10 * kSec;
  settings.rules.overload_threshold = 4;
  settings.rules.overload_window = kSec;
  settings.max_attempts = 4;
  settings.sends_retry_after = true;
  settings.max_retry_after = kSec;
  settings.slow_start_units = 20;
  settings.mean_request_units = 2;
  settings.max_request_units = 6;
  settings.fair_share_weight = 0.4;
  settings.excess_weight = 0.1;
  return settings;
}

// A scheduler, its simulated clock and the actions recorded so far.
class SchedulerFixture {
 public:
  // Starts the scheduler at `start`, in microseconds.
  explicit SchedulerFixture(const Settings& settings = BasicSettings(), Time start = 1'000 * kSec)
      : scheduler_(settings, kSchedulerSeed), now_(start) {
    Handle(Started{});
  }

  // Handles one event at the simulated time, records the returned actions and returns them.
  std::vector<Action> Handle(const Event& event) {
    std::vector<Action> actions = scheduler_.Handle(event, now_);
    actions_.insert(actions_.end(), actions.begin(), actions.end());
    return actions;
  }

  // Delivers an endpoint update.
  void UpdateEndpoints(EndpointUpdateKind kind, std::vector<Endpoint> endpoints) {
    Handle(EndpointUpdate{kind, std::move(endpoints)});
  }

  // Delivers a full update with `count` active targets t0, t1, ... that hold shards 0, 1, ...
  void SetTargets(int count) {
    std::vector<Endpoint> endpoints;
    endpoints.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      endpoints.push_back(MakeEndpoint("t" + std::to_string(i), i));
    }
    UpdateEndpoints(EndpointUpdateKind::kFull, endpoints);
  }

  // Returns an endpoint that holds `shard`; `started_at` is 0 if unknown.
  static Endpoint MakeEndpoint(const std::string& target, int shard,
                               EndpointState state = EndpointState::kActive, Time started_at = 0) {
    Endpoint endpoint;
    endpoint.target = target;
    endpoint.shard = shard;
    endpoint.state = state;
    endpoint.started_at = started_at;
    return endpoint;
  }

  // Returns a request of two units with a unique key and a ttl of 2 s.
  static RequestArrived MakeRequest(const std::string& id, int request_class = 0, int shard = 0) {
    RequestArrived request;
    request.id = id;
    request.request_class = request_class;
    request.volume = "v";
    request.key = "k" + id;
    request.ttl = 2 * kSec;
    request.units = 2;
    request.shard = shard;
    return request;
  }

  // Reports the outcome of an attempt; a completed attempt also finishes its request.
  std::vector<Action> FinishAttempt(const std::string& id, Outcome outcome, Time latency = 20 * kMs,
                                    int attempt = 0, const std::string& target = "t0",
                                    bool request_finished = false) {
    AttemptFinished finished;
    finished.id = id;
    finished.attempt = attempt;
    finished.target = target;
    finished.outcome = outcome;
    finished.latency = latency;
    finished.request_finished = request_finished || outcome == Outcome::kCompleted;
    return Handle(finished);
  }

  // Advances the clock by `span`, firing the scheduler's periodic timer.
  void Advance(Time span) {
    const Time until = now_ + span;
    while (now_ + kTimerPeriod <= until) {
      now_ += kTimerPeriod;
      Handle(TimerFired{0});
    }
    now_ = until;
  }

  // Returns the recorded actions of one type, in order.
  template <typename T>
  std::vector<T> ActionsOf() const {
    std::vector<T> found;
    for (const Action& action : actions_) {
      if (const T* match = std::get_if<T>(&action)) {
        found.push_back(*match);
      }
    }
    return found;
  }

  // Returns the recorded attempts and clears all recorded actions.
  std::vector<SendAttempt> TakeAttempts() {
    std::vector<SendAttempt> attempts = ActionsOf<SendAttempt>();
    ClearActions();
    return attempts;
  }

  // Return the number of recorded actions of each type for the request.
  int SendCount(const std::string& id) const { return CountOf<SendAttempt>(id); }
  int RejectionCount(const std::string& id) const { return CountOf<RejectRequest>(id); }
  int FailureCount(const std::string& id) const { return CountOf<FailRequest>(id); }
  int FinalResponseCount(const std::string& id) const { return RejectionCount(id) + FailureCount(id); }

  // Returns the simulated time in microseconds.
  Time now() const { return now_; }

  // Clears the recorded actions.
  void ClearActions() { actions_.clear(); }

 private:
  template <typename T>
  int CountOf(const std::string& id) const {
    int count = 0;
    for (const T& action : ActionsOf<T>()) {
      count += action.id == id;
    }
    return count;
  }

  Scheduler scheduler_;
  Time now_;
  std::vector<Action> actions_;
};

}  // namespace walnutspur::test

#endif  // WALNUTSPUR_TESTS_SCHEDULER_SCHEDULER_FIXTURE_H_
