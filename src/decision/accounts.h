// Accounts: the credit of each volume's reserve and rate limit, and of each flow's throttle and fair share.
//
// Functions that update the token buckets and tags in the SchedulerState and take no decisions. Called on
// the scheduler thread.
#ifndef WALNUTSPUR_DECISION_ACCOUNTS_H_
#define WALNUTSPUR_DECISION_ACCOUNTS_H_

#include "decision/state.h"

namespace walnutspur::decision {

// Returns the volume of a request that has arrived and applies the plan that the request states. A new volume
// starts with a full reserve.
Volume& VolumeOf(SchedulerState& state, const RequestArrived& arrival);

// Add the credit that has accrued since the last refill: to a volume's reserve and limit, or to a flow's
// throttle.
void Refill(const SchedulerState& state, Volume& volume);
void Refill(const SchedulerState& state, Flow& flow);

// Charges a request that is about to be sent with `start_tag` to its volume's and flow's accounts.
void ChargeRequest(SchedulerState& state, RequestState& request, bool is_reserved, double start_tag,
                   TargetState& target);

// Charges the units that the target reports as served for other instances: first to the reserve, the
// remainder to the flow.
void ChargeRemoteUnits(const SchedulerState& state, Flow& flow, const TargetState& target, double units);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_ACCOUNTS_H_
