#include "decision/deadlines.h"

#include <algorithm>

#include "decision/estimates.h"
#include "decision/idempotency.h"

namespace walnutspur::decision {

Time ObjectiveEnd(const SchedulerState& state, const RequestState& request, const RequestArrived& arrival) {
  const RequestClass& request_class = state.ClassOf(request);
  if (arrival.ttl >= request_class.latency_objective) {
    const Time first_attempt_at = request.deadline - request_class.deadline;
    return first_attempt_at + request_class.latency_objective;
  }
  return arrival.is_client_retry ? state.now : request.deadline;
}

Time LatestUsefulResponse(const SchedulerState& state, const RequestState& request) {
  const Duration objective = Microseconds(state.ClassOf(request).latency_objective);
  const Duration wait = state.client_wait.fraction() * objective;
  return std::min(request.objective_at, request.arrived_at + ToTime(wait));
}

bool CanMeetObjective(const SchedulerState& state, const RequestState& request, const TargetState& target) {
  const Duration response_at =
      SinceEpoch(state.now) + ExpectedQueueing(state, target) + target.latency.ServiceTime(request.units);
  return response_at <= SinceEpoch(LatestUsefulResponse(state, request));
}

bool IsDeadlineNear(const SchedulerState& state, const RequestState& request) {
  return state.now + 2 * kTimerPeriod >= request.deadline;
}

Time AttemptTimeout(const SchedulerState& state, const RequestState& request) {
  const RequestClass& request_class = state.ClassOf(request);
  if (!state.settings.can_cancel || request_class.ordered_by_key || state.now >= request.objective_at) {
    return 0;
  }
  const bool may_repeat = request_class.idempotency != Idempotency::kNotIdempotent;
  const Time extension = may_repeat ? request_class.latency_objective : 0;
  return request.objective_at + extension - state.now;
}

Time LatestSendTime(const SchedulerState& state, const RequestState& request) {
  const Time deduplicated_until =
      IsBoundToTarget(state, request) ? DeduplicatedUntil(state, request) : kNever;
  const Time latest = std::min(state.endpoint_lease.expires_at(), deduplicated_until);
  return latest == kNever ? 0 : latest;
}

}  // namespace walnutspur::decision
