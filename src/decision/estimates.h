// Estimates: what is known of targets, flows and volumes, from outcomes and arrivals.
//
// Functions over the SchedulerState that record and predict and decide nothing; called on its thread. Rates
// are in units a second.
#ifndef WALNUTSPUR_DECISION_ESTIMATES_H_
#define WALNUTSPUR_DECISION_ESTIMATES_H_

#include "decision/state.h"

namespace walnutspur::decision {

// Queueing delay expected of an attempt sent now: at least the age of what is stuck at the target.
Duration ExpectedQueueing(const SchedulerState& state, const TargetState& target);

// Counts attempts in flight as latency samples once their queueing delay is beyond `threshold`: a stuck
// target has no responses to go by.
void SampleStuckAttempts(const SchedulerState& state, Duration threshold, TargetState& target);

// Updates the rate of service at the target and the usage of the request's volume.
void RecordService(SchedulerState& state, const RequestState& request, const AttemptFinished& result,
                   TargetState& target);

// Updates the latency estimates of the target, of all targets and of the request's flow.
void RecordLatency(SchedulerState& state, const RequestState& request, const AttemptFinished& result,
                   TargetState& target);

// Determines the rate that arrives inside reserves at the target of a shard, and counts its attempts in
// flight past their objective as late already.
void UpdateInterval(const SchedulerState& state, const ShardFlows& flows, TargetState& target);

// Steady rate of service to this instance at all targets.
double ServedRate(const SchedulerState& state);

// Rate at which this instance would be served at the target if its rate at all targets were divided by
// present demand: shards move between instances, and one without demand needs no capacity.
double DemandedRate(SchedulerState& state, const TargetState& target);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_ESTIMATES_H_
