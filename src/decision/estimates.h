// Estimates: what is known of targets, flows and clients, from outcomes and arrivals.
//
// Functions over the SchedulerState that measure and predict and decide nothing; called on its thread. Times
// are in microseconds, rates in units a second.
#ifndef WALNUTSPUR_DECISION_ESTIMATES_H_
#define WALNUTSPUR_DECISION_ESTIMATES_H_

#include "decision/state.h"

namespace walnutspur::decision {

// Queueing delay expected of an attempt sent now, us: at least the age of what is stuck at the target.
double ExpectedQueueing(const SchedulerState& state, const TargetState& target);

// Whether an attempt is taken to be lost, since one sent well after it has completed. Targets serve in order
// of arrival: this covers requests and responses that are dropped. It errs where service is very uneven.
bool IsLost(const SchedulerState& state, const Attempt& attempt, const TargetState& target);

// Units of the attempts that occupy the target.
double UnitsInFlight(const SchedulerState& state, const TargetState& target);

// Number of attempts that occupy the target.
std::size_t AttemptsInFlight(const SchedulerState& state, const TargetState& target);

// Takes an attempt that has ended out of the target's attempts. Work that was cancelled or has timed out may
// still be done, so such an attempt lingers for a multiple of its age: otherwise targets that hang or whose
// clients disconnect would look free, and many instances would refill a queue that nobody waits for.
void EndAttempt(const SchedulerState& state, const RequestState& request, Outcome outcome,
                TargetState& target);

// Removes the attempts that no longer linger at the target.
void RemoveEndedAttempts(const SchedulerState& state, TargetState& target);

// Counts attempts in flight as latency samples once their queueing delay is beyond `threshold` (us): a stuck
// target has no responses to learn from.
void SampleStuckAttempts(const SchedulerState& state, double threshold, TargetState& target);

// Counts an outcome in the histories of the target and of its zone.
void RecordHealth(SchedulerState& state, Outcome outcome, TargetState& target);

// Updates the rate of service at the target and the usage of the request's volume.
void RecordService(SchedulerState& state, const RequestState& request, const AttemptFinished& result,
                   TargetState& target);

// Updates the latency estimates of the target, of all targets and of the request's flow.
void RecordLatency(SchedulerState& state, const RequestState& request, const AttemptFinished& result,
                   TargetState& target);

// Counts how long a client waited, before it `disconnected` or the request ended otherwise.
void RecordClientWait(SchedulerState& state, const RequestState& request, bool disconnected);

// Measures the rate that arrives inside reserves at the target of a shard, and counts its attempts in flight
// past their objective as late already.
void MeasureInterval(const SchedulerState& state, const ShardFlows& flows, TargetState& target);

// Steady rate of service to this instance at all targets.
double ServedRate(const SchedulerState& state);

// Rate at which this instance would be served at the target if its rate at all targets were divided by
// present demand: shards move between instances, and one without demand needs no room.
double DemandedRate(SchedulerState& state, const TargetState& target);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_ESTIMATES_H_
