#include "decision/endpoint_updates.h"

#include <algorithm>

#include "decision/concurrency_limit.h"

namespace walnutspur::decision {
namespace {

// Maximum time between the start of a target and its first appearance in the endpoint list.
constexpr Time kMaxListDelay = ToTime(std::chrono::seconds(3));

// Returns when the target's process started, by the events' clock; 0: long ago. The list states the start by
// a wall clock that may be wrong. A start in the future counts as a start at the present time, and so does a
// start so early that an earlier list would have contained the target.
Time EstimateStart(const SchedulerState& state, const Endpoint& endpoint) {
  if (endpoint.started_at <= 0) {
    return 0;
  }
  const Time stated = std::min(state.now, endpoint.started_at - endpoint.clock_offset);
  const Time list_received_at = state.endpoints.list_received_at();
  const bool was_unlisted = list_received_at > 0 && stated < list_received_at - kMaxListDelay;
  return was_unlisted ? state.now : stated;
}

// Resets the estimates of a target whose process is new, since those of the previous process no longer hold.
void ResetTarget(SchedulerState& state, const Endpoint& endpoint, bool is_new, TargetState& target) {
  target.limits = InitialConcurrencyLimits(state.settings);
  target.latency.ResetQueueing();
  target.backoff.OnTargetRestarted();
  const TargetState* former = state.endpoints.LatestTarget(endpoint.shard);
  if (is_new && former != nullptr) {
    target.steady_rate = former->steady_rate;
  }
  target.outcomes = {};
  const Time started_at = EstimateStart(state, endpoint);
  if (started_at > 0) {  // 0: the target has not restarted
    target.steady_rate.Suspend(started_at);
  }
  // Random, so that not every instance sends a request at the start.
  const double first_units = state.random.Next() * state.settings.mean_request_units;
  target.slow_start.Start(started_at, state.now, target.steady_rate.Rate(state.now, state.started_at),
                          first_units);
}

void ApplyEndpoint(SchedulerState& state, const Endpoint& endpoint) {
  const bool is_new = state.endpoints.Find(endpoint.target) == nullptr;
  TargetState& target = state.endpoints.FindOrAdd(endpoint.target);
  if (is_new || endpoint.started_at > target.started_at) {
    ResetTarget(state, endpoint, is_new, target);
  }
  target.CopyFrom(endpoint);
  if (target.active) {
    state.endpoints.AssignShard(target);
  }
}

void OnPollFailed(SchedulerState& state, const EndpointUpdate& update) {
  const Time current_until = update.received_at > 0 ? update.received_at : state.now;
  state.endpoint_lease.OnFailed(state.now, current_until, update.failure);
  state.endpoint_poller.OnFailed(state.now, update.failure, state.random);
}

void OnUpdateStarted(SchedulerState& state, const EndpointUpdate& update) {
  state.endpoint_lease.OnUpdateStarted(update.received_at > 0 ? update.received_at : state.now);
  state.endpoint_poller.OnUpdateStarted(state.now);
}

void OnServiceChanged(SchedulerState& state) {
  state.endpoint_lease.OnServiceChanged(state.now);
  state.endpoint_poller.OnPolled(state.now);
}

void ApplyEndpoints(SchedulerState& state, const EndpointUpdate& update) {
  const bool is_cached = update.kind == EndpointUpdateKind::kCached;
  const bool from_discovery = !is_cached && update.kind != EndpointUpdateKind::kOverride;
  if (from_discovery) {
    state.endpoint_poller.OnResponse();
    state.endpoint_lease.OnListConfirmed();
  }
  if (is_cached || update.kind == EndpointUpdateKind::kFull) {
    state.endpoints.TerminateAll();
  }
  for (const Endpoint& endpoint : update.endpoints) {
    ApplyEndpoint(state, endpoint);
  }
  state.endpoints.ReassignShards();
  if (from_discovery) {
    state.endpoints.OnListReceived(state.now);
  }
}

}  // namespace

void ApplyEndpointUpdate(SchedulerState& state, const EndpointUpdate& update) {
  switch (update.kind) {
    case EndpointUpdateKind::kFailed:
      OnPollFailed(state, update);
      return;
    case EndpointUpdateKind::kUpdateStarted:
      OnUpdateStarted(state, update);
      return;
    case EndpointUpdateKind::kServiceChanged:
      OnServiceChanged(state);
      return;
    case EndpointUpdateKind::kDelta:
    case EndpointUpdateKind::kFull:
    case EndpointUpdateKind::kCached:
    case EndpointUpdateKind::kOverride:
      ApplyEndpoints(state, update);
      return;
  }
}

void PollEndpoints(SchedulerState& state) {
  state.actions.emplace_back(WatchEndpoints{});
  state.endpoint_poller.OnPolled(state.now);
}

}  // namespace walnutspur::decision
