// Endpoints: the targets as of the endpoint list, which one serves a shard, and which one gets a new object.
//
// Functions over the SchedulerState, called on its thread.
#ifndef WALNUTSPUR_DECISION_ENDPOINTS_H_
#define WALNUTSPUR_DECISION_ENDPOINTS_H_

#include "decision/state.h"

namespace walnutspur::decision {

constexpr Time kLongestPollInterval = 16'000'000;  // us until the list is polled again after failures

// Applies an update of the endpoint list, or schedules the next poll if it says that the list could not be
// had.
void ApplyEndpointUpdate(SchedulerState& state, const EndpointUpdate& update);

// Polls the endpoint list, with a subscription to its changes.
void PollEndpoints(SchedulerState& state);

// Chooses the shard for a new object, where it is likely to be done first; -1: no target takes new objects.
int PlaceNewObject(SchedulerState& state, const RequestState& request);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_ENDPOINTS_H_
