// Accounts: the credit of each volume's reserve and rate limit, and of each flow's throttle and fair share.
//
// Functions over the SchedulerState that keep token buckets and tags and decide nothing; called on its
// thread.
#ifndef WALNUTSPUR_DECISION_ACCOUNTS_H_
#define WALNUTSPUR_DECISION_ACCOUNTS_H_

#include "decision/state.h"

namespace walnutspur::decision {

// The volume of a request that has arrived, under the plan that the request states. A new volume starts with
// a full reserve.
Volume& VolumeOf(SchedulerState& state, const RequestArrived& arrival);

// Adds the credit that has accrued since the last refill: of a volume's reserve and limit, of a flow's
// throttle.
void Refill(const SchedulerState& state, Volume& volume);
void Refill(const SchedulerState& state, Flow& flow);

// Charges a request that is about to be sent with `start_tag` to the accounts it draws on.
void ChargeRequest(SchedulerState& state, RequestState& request, bool is_reserved, double start_tag,
                   TargetState& target);

// Charges units that other instances have sent to the target, by its report: to the reserve, then to the
// flow.
void ChargeRemoteUnits(const SchedulerState& state, Flow& flow, const TargetState& target, double units);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_ACCOUNTS_H_
