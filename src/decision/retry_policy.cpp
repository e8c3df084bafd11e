#include "decision/retry_policy.h"

#include "decision/deadlines.h"
#include "decision/idempotency.h"
#include "decision/loss_detection.h"

namespace walnutspur::decision {
namespace {

bool HasRetryBudget(SchedulerState& state) {
  const Rules& rules = state.settings.rules;
  if (!limits::RetryBudget::IsLimited(rules)) {
    return true;  // avoids counting the requests that wait for a retry
  }
  return state.retry_budget.Allows(rules, state.requests.CountAwaitingRetry(), state.now);
}

bool IsInFlight(const Attempt& attempt, const TargetState& target) {
  const RequestState& request = *attempt.request;
  return !attempt.has_ended() && !request.finished && request.target == &target;
}

bool MayCancel(SchedulerState& state, const Attempt& attempt, const TargetState& target) {
  const RequestState& request = *attempt.request;
  const RequestClass& request_class = state.ClassOf(request);
  const bool repeatable = request_class.idempotency == Idempotency::kIdempotent &&
                          !request_class.ordered_by_key && request.attempts < state.settings.max_attempts;
  const bool was_cancelled = request.cancelled_attempt == request.attempts;
  return IsInFlight(attempt, target) && repeatable && !was_cancelled && IsOvertaken(state, target, attempt) &&
         CanMeetObjective(state, request, target) && HasRetryBudget(state);
}

}  // namespace

bool MayRetry(SchedulerState& state, const RequestState& request, Outcome outcome) {
  // The target of the retry is not known yet, so the shard and zone of the possible effect are passed: this
  // checks the deduplication window only. Dispatch checks the scope.
  const PossibleEffect& effect = request.possible_effect;
  const bool is_useful = state.now < request.objective_at && !IsDeadlineNear(state, request);
  return is_useful && request.attempts < state.settings.max_attempts && outcome != Outcome::kNotSent &&
         HasRetryBudget(state) && IsRepeatSafe(state, request, effect.shard, effect.zone);
}

void CancelOvertakenAttempts(SchedulerState& state, const TargetState& target) {
  if (!state.settings.can_cancel) {
    return;
  }
  for (const Attempt& attempt : target.attempts) {
    if (MayCancel(state, attempt, target)) {
      RequestState& request = *attempt.request;
      request.cancelled_attempt = request.attempts;
      state.actions.emplace_back(CancelAttempt{request.id, request.attempts - 1});
    }
  }
}

}  // namespace walnutspur::decision
