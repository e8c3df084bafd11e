// Estimates of the state of targets, flows and volumes, derived from outcomes and arrivals.
//
// Functions that record and predict in the SchedulerState and take no decisions. Called on the scheduler
// thread. Rates are in units per second.
#ifndef WALNUTSPUR_DECISION_ESTIMATES_H_
#define WALNUTSPUR_DECISION_ESTIMATES_H_

#include "decision/state.h"

namespace walnutspur::decision {

// Returns the queueing delay expected for an attempt sent now: at least that of attempts stuck at the target.
Duration ExpectedQueueing(const SchedulerState& state, const TargetState& target);

// Adds latency samples for attempts in flight whose queueing delay is above `threshold`, since a stuck target
// sends no responses that could be sampled.
void SampleStuckAttempts(const SchedulerState& state, Duration threshold, TargetState& target);

// Updates the rate of service at the target and the usage of the request's volume.
void RecordService(SchedulerState& state, const RequestState& request, const AttemptFinished& result,
                   TargetState& target);

// Updates the latency estimates of the target, of all targets and of the request's flow.
void RecordLatency(SchedulerState& state, const RequestState& request, const AttemptFinished& result,
                   TargetState& target);

// Updates the rate at which reserved work arrives at the target of a shard, and counts the target's attempts
// in flight that are past their objective as late.
void UpdateInterval(const SchedulerState& state, const ShardFlows& flows, TargetState& target);

// Returns the steady rate of service to this instance at all targets.
double ServedRate(const SchedulerState& state);

// Returns the rate of service that this instance needs at the target: its total rate at all targets, divided
// among them in proportion to present demand. Past rates at the target are not used, since shards move
// between instances and a shard without demand needs no capacity.
double DemandedRate(SchedulerState& state, const TargetState& target);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_ESTIMATES_H_
