#include "decision/final_response.h"

#include <algorithm>

#include "decision/estimates.h"
#include "decision/idempotency.h"

namespace walnutspur::decision {

Time RetryAfter(const SchedulerState& state, const RequestState& request) {
  const Time max_delay = state.settings.max_retry_after;
  const TargetState* target =
      request.flow != nullptr ? state.endpoints.ActiveTarget(request.flow->shard) : nullptr;
  if (target == nullptr || !state.endpoint_lease.IsValid(state.now)) {
    return max_delay;
  }
  const Time queue_drained = ToTime(ExpectedQueueing(state, *target));
  const Time backoff_over = target->backoff.ends_at() - state.now;
  return std::clamp(std::max(queue_drained, backoff_over), std::min(kTimerPeriod, max_delay), max_delay);
}

void Reject(SchedulerState& state, const RequestState& request, RejectionReason reason) {
  const Time retry_after = state.settings.sends_retry_after ? RetryAfter(state, request) : 0;
  state.actions.emplace_back(RejectRequest{request.id, retry_after, reason});
}

void Respond(SchedulerState& state, const RequestState& request) {
  if (IsRejectionSafe(state, request)) {
    Reject(state, request, RejectionReason::kLoad);
  } else {
    state.actions.emplace_back(FailRequest{request.id});
  }
}

}  // namespace walnutspur::decision
