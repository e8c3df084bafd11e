// Endpoint updates: applies a message from discovery, or its failure, to the endpoint table, the endpoint
// lease and the poller.
//
// Functions that update the SchedulerState. Called on the scheduler thread.
#ifndef WALNUTSPUR_DECISION_ENDPOINT_UPDATES_H_
#define WALNUTSPUR_DECISION_ENDPOINT_UPDATES_H_

#include "decision/state.h"

namespace walnutspur::decision {

// Applies an update of the endpoint list, or schedules the next poll if the update reports a failure.
void ApplyEndpointUpdate(SchedulerState& state, const EndpointUpdate& update);

// Emits an action that fetches the endpoint list and subscribes to its changes.
void PollEndpoints(SchedulerState& state);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_ENDPOINT_UPDATES_H_
