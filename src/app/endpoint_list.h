// Applies an endpoint list from discovery or from the configuration to the HTTP and NBD targets.
//
// Called by the Initiator on the event-loop thread.
#ifndef WALNUTSPUR_APP_ENDPOINT_LIST_H_
#define WALNUTSPUR_APP_ENDPOINT_LIST_H_

#include "http/endpoint_list.h"
#include "http/target_pool.h"
#include "nbd/config.h"
#include "walnutspur/scheduler.h"

namespace walnutspur::app {

// Updates the addresses in `targets` from `list`. If `update` is a full one, removes the targets that it
// does not list.
void UpdateAddresses(const EndpointUpdate& update, const http::EndpointList& list, http::TargetPool* targets);

// Adds the NBD targets that discovery does not list to a full or cached update. Otherwise the scheduler would
// drain them.
void AddUnlistedTargets(const nbd::Config& config, EndpointUpdate* update);

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_ENDPOINT_LIST_H_
