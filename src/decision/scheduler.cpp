// Implements Scheduler: handles each event. Events and actions are in include/walnutspur/scheduler.h.
//
// The path of a request: arrival -> queue of its flow (volume and shard) -> the flow's throttle covers it ->
// it is selected among the first requests of all flows by priority band and start tag (start-time fair
// queueing) -> the target's concurrency limit has capacity -> attempt. The control loop throttles flows once
// per interval (SLEDS).
//
// docs/decisions.md lists the file that implements each rule.
#include "walnutspur/scheduler.h"

#include <algorithm>

#include "decision/accounts.h"
#include "decision/admission.h"
#include "decision/concurrency_limit.h"
#include "decision/deadlines.h"
#include "decision/dispatch.h"
#include "decision/endpoint_updates.h"
#include "decision/estimates.h"
#include "decision/eviction.h"
#include "decision/expiry.h"
#include "decision/final_response.h"
#include "decision/idempotency.h"
#include "decision/in_flight.h"
#include "decision/placement.h"
#include "decision/retry_policy.h"
#include "decision/throttle.h"

namespace walnutspur {
namespace decision {
namespace {

// Time between runs of the control loop; the value of the SLEDS paper.
constexpr Time kControlInterval = ToTime(std::chrono::seconds(1));
// Time between adjustments of the concurrency limits: a fraction of the duration of a surge.
constexpr Time kLimitInterval = ToTime(std::chrono::milliseconds(200));

RequestRef NewRequest(const SchedulerState& state, const RequestArrived& arrival) {
  const int last_class = static_cast<int>(state.settings.classes.size()) - 1;
  auto request = std::make_shared<RequestState>();
  request->id = arrival.id;
  request->class_index = std::clamp(arrival.request_class, 0, last_class);
  request->key = arrival.key;
  request->units = arrival.units;
  request->arrived_at = state.now;
  request->deadline = state.now + arrival.ttl;
  request->objective_at = ObjectiveEnd(state, *request, arrival);
  request->any_target = arrival.shard < 0;
  if (request->any_target) {
    request->new_object = ObjectName(arrival.volume, arrival.key);
  }
  return request;
}

// Returns the shard that holds the data of a request for an existing object: for a read, the shard at which
// this instance has stored the object, if it has.
int ShardOf(const SchedulerState& state, const RequestState& request, const RequestArrived& arrival) {
  if (state.ClassOf(request).idempotency != Idempotency::kIdempotent) {
    return arrival.shard;
  }
  return state.object_locations.Find(ObjectName(arrival.volume, arrival.key)).value_or(arrival.shard);
}

// Handles the events of one Scheduler.
class EventHandler {
 public:
  EventHandler(const Settings& settings, std::uint64_t seed)
      : state_(settings, InitialConcurrencyLimits(settings), seed) {}

  std::size_t table_entries() const { return state_.table_entries(); }

  std::vector<Action> Handle(const Event& event, Time now) {
    state_.now = now;
    state_.actions.clear();
    std::visit([this](const auto& typed_event) { On(typed_event); }, event);
    return std::move(state_.actions);
  }

 private:
  void On(const Started&) {
    state_.started_at = state_.now;
    next_control_ = state_.now;
    next_limits_ = state_.now;
    state_.endpoint_lease.OnStarted(state_.now);
    if (state_.endpoint_poller.is_enabled()) {
      PollEndpoints(state_);
    }
    state_.actions.emplace_back(StartTimer{0, kTimerPeriod});
  }

  void On(const TimerFired&) {
    state_.actions.emplace_back(StartTimer{0, kTimerPeriod});
    state_.client_wait.Update(state_.now);
    if (state_.endpoint_poller.IsDue(state_.now)) {
      PollEndpoints(state_);
    }
    if (state_.now >= next_limits_) {
      next_limits_ = state_.now + kLimitInterval;
      AdjustConcurrencyLimits(state_);
    }
    if (state_.now >= next_control_) {
      RunControlLoop();
    }
    DispatchAll();
    FinishExpired();
  }

  void On(const EndpointUpdate& update) {
    ApplyEndpointUpdate(state_, update);
    DispatchAll();
  }

  void On(const RequestArrived& arrival) {
    state_.retry_budget.OnArrival(state_.settings.rules, state_.now);
    const RequestRef request = NewRequest(state_, arrival);
    const int shard =
        request->any_target ? PlaceNewObject(state_, *request) : ShardOf(state_, *request, arrival);
    if (!MakeRoom(state_, *request, arrival.volume, shard)) {
      Reject(state_, *request, RejectionReason::kTableFull);
      return;
    }
    state_.requests.Add(request);
    if (state_.IsOrdered(*request)) {
      state_.key_order.Add(request);
    }
    Volume& volume = VolumeOf(state_, arrival);
    volume.demand.Add(request->units);
    volume.last_arrival = state_.now;
    Enqueue(state_, request, volume, shard);
    DispatchShard(request->flow->shard);
    if (request->target == nullptr && !MayWaitOnArrival(state_, *request)) {
      Finish(request);
    }
  }

  void On(const AttemptFinished& result) {
    const RequestRef request = state_.requests.Find(result.id);
    TargetState* target = state_.endpoints.Find(result.target);
    if (request == nullptr || target == nullptr || request->target != target ||
        result.attempt != request->attempts - 1) {
      return;
    }
    request->target = nullptr;
    RecordOutcome(*request, result, *target);
    ContinueOrFinish(request, result);
    if (result.outcome == Outcome::kCompleted) {
      CancelOvertakenAttempts(state_, *target);
    }
    DispatchQueued(state_, *target);
    if (request->flow != nullptr && request->flow->shard != target->shard && !request->finished) {
      DispatchShard(request->flow->shard);
    }
  }

  void On(const ClientDisconnected& event) {
    const RequestRef request = state_.requests.Find(event.id);
    if (request == nullptr) {
      return;
    }
    if (event.waited) {
      MarkFinished(request, true);
    }
    request->finished = true;
    state_.flows.Remove(request);
    if (request->target == nullptr) {
      state_.requests.Remove(event.id);
    } else if (state_.settings.can_cancel) {  // targets that drop cancelled requests save the work
      state_.actions.emplace_back(CancelAttempt{request->id, request->attempts - 1});
    }
  }

  // The response is being sent to the client, so the scheduler must not emit a final response. How long the
  // client waited is recorded when the attempt ends.
  void On(const ResponseStarted& event) const {
    if (const RequestRef request = state_.requests.Find(event.id)) {
      request->finished = true;
    }
  }

  void On(const HealthCheckFinished&) {}

  void On(const SettingsChanged& change) { state_.ReplaceSettings(change.settings); }

  void On(const FleetSize& fleet) {
    // Each process of an initiator acts as an instance of its own, so that their sum keeps to the limits.
    state_.settings.processes = std::max(1, fleet.processes);
    state_.settings.instances = std::max(1, fleet.live_instances) * state_.settings.processes;
    state_.settings.traffic_fraction = fleet.traffic_fraction / state_.settings.processes;
    state_.endpoint_poller.SetInstanceCount(state_.settings.instances);
  }

  // Updates the records of the target, the request and its key after the end of an attempt.
  void RecordOutcome(RequestState& request, const AttemptFinished& result, TargetState& target) {
    EndAttempt(state_, request, result.outcome, target);
    RecordService(state_, request, result, target);
    UpdateBackoff(result.outcome, target);
    state_.outliers.Record(result.outcome, target.zone, state_.now, target.outcomes);
    RecordLatency(state_, request, result, target);
    if (result.outcome == Outcome::kCompleted && request.any_target) {
      state_.object_locations.Add(request.new_object, target.shard);
    }
    if (MayHaveRun(result.outcome) && !request.possible_effect.exists()) {
      request.possible_effect = {request.sent_at, target.shard, target.zone};
    }
    if (state_.IsOrdered(request)) {
      const std::optional<Time> quarantine = state_.settings.rules.key_quarantine;
      state_.key_order.OnAttemptEnded(request, result.outcome, quarantine, state_.now);
    }
  }

  void UpdateBackoff(Outcome outcome, TargetState& target) {
    if (outcome == Outcome::kOverloaded) {
      target.backoff.OnOverloaded(state_.now);
      OnTargetOverloaded(state_, target);
    } else if (outcome == Outcome::kConnectFailed) {
      target.backoff.OnConnectFailed(state_.now);
    } else if (outcome == Outcome::kCompleted) {
      target.backoff.OnCompleted();
    }
  }

  // Finishes a request after one of its attempts has ended, or queues it for a retry.
  void ContinueOrFinish(const RequestRef& request, const AttemptFinished& result) {
    if (result.request_finished || request->finished) {
      MarkFinished(request, false);
      state_.requests.Remove(result.id);
    } else if (MayRetry(state_, *request, result.outcome)) {
      const bool may_move = request->any_target && !IsBoundToTarget(state_, *request);
      const int shard = may_move ? PlaceNewObject(state_, *request) : request->flow->shard;
      Enqueue(state_, request, *request->flow->volume, shard);
    } else {
      Finish(request);
    }
  }

  void MarkFinished(const RequestRef& request, bool disconnected) {
    const Time objective = state_.ClassOf(*request).latency_objective;
    state_.client_wait.OnRequestEnded(*request, objective, disconnected, state_.now);
    request->finished = true;
  }

  // Emits the final response to a request that has none.
  void Finish(const RequestRef& request) {
    if (request->finished) {
      return;
    }
    MarkFinished(request, false);
    state_.flows.Remove(request);
    Respond(state_, *request);
    if (request->target == nullptr) {
      state_.requests.Remove(request->id);
    }
  }

  void FinishExpired() {
    for (const RequestRef& request : ExpiredRequests(state_)) {
      Finish(request);
    }
  }

  void DispatchShard(int shard) {
    if (TargetState* target = state_.endpoints.ActiveTarget(shard)) {
      DispatchQueued(state_, *target);
    }
  }

  void DispatchAll() {
    for (auto& [id, target] : state_.endpoints.targets()) {
      DispatchQueued(state_, target);
    }
  }

  void RunControlLoop() {
    const Time elapsed = state_.now - next_control_ + kControlInterval;
    next_control_ = state_.now + kControlInterval;
    AdjustThrottles(state_, Microseconds(std::max(kTimerPeriod, elapsed)) / kSecond);
    EvictIdle(state_);
  }

  SchedulerState state_;
  Time next_control_ = 0;  // next run of the control loop
  Time next_limits_ = 0;   // next adjustment of the concurrency limits
};

}  // namespace
}  // namespace decision

class Scheduler::Impl : public decision::EventHandler {
  using EventHandler::EventHandler;
};

Scheduler::Scheduler(const Settings& settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;

std::size_t Scheduler::table_entries() const { return impl_->table_entries(); }

std::vector<Action> Scheduler::Handle(const Event& event, Time now) { return impl_->Handle(event, now); }

}  // namespace walnutspur
