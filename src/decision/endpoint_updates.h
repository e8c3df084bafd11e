// Endpoint updates: what a message from discovery, or its failure, changes in the table, the lease and the
// next poll.
//
// Functions over the SchedulerState, called on its thread.
#ifndef WALNUTSPUR_DECISION_ENDPOINT_UPDATES_H_
#define WALNUTSPUR_DECISION_ENDPOINT_UPDATES_H_

#include "decision/state.h"

namespace walnutspur::decision {

// Applies an update of the endpoint list, or schedules the next poll if it says that there is no list.
void ApplyEndpointUpdate(SchedulerState& state, const EndpointUpdate& update);

// Polls the endpoint list, with a subscription to its changes.
void PollEndpoints(SchedulerState& state);

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_ENDPOINT_UPDATES_H_
