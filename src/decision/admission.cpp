#include "decision/admission.h"

#include "decision/deadlines.h"

namespace walnutspur::decision {
namespace {

// Returns the service time of a unit at a shard's active target, or the initial estimate if it has none.
Duration UnitTime(const SchedulerState& state, int shard) {
  const TargetState* target = state.endpoints.ActiveTarget(shard);
  return target != nullptr ? target->latency.unit_time() : limits::kInitialUnitTime;
}

}  // namespace

bool MayDispatchTo(const SchedulerState& state, const TargetState& target) {
  return state.endpoint_lease.IsValid(state.now) && target.active && target.backoff.IsOver(state.now) &&
         state.endpoints.ActiveTarget(target.shard) == &target;
}

bool MayWaitOnArrival(const SchedulerState& state, const RequestState& request) {
  return state.endpoint_lease.IsValid(state.now) && request.deadline - state.now >= 2 * kTimerPeriod;
}

bool MayKeepWaiting(const SchedulerState& state, const RequestState& request) {
  if (!state.endpoint_lease.IsValid(state.now) || IsDeadlineNear(state, request)) {
    return false;
  }
  const Duration service_time = request.units * UnitTime(state, request.flow->shard);
  return state.now + ToTime(service_time) <= LatestUsefulResponse(state, request);
}

}  // namespace walnutspur::decision
