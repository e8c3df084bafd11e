// The handling of an endpoint list from discovery or from the configuration.
//
// Called by the Initiator on the event-loop thread.
#ifndef WALNUTSPUR_APP_ENDPOINT_LIST_H_
#define WALNUTSPUR_APP_ENDPOINT_LIST_H_

#include "http/endpoint_list.h"
#include "http/target_pool.h"
#include "nbd/config.h"
#include "walnutspur/scheduler.h"

namespace walnutspur::app {

// Updates the addresses of `targets` by a list that is received as `update`.
void UpdateAddresses(const EndpointUpdate& update, const http::EndpointList& list, http::TargetPool* targets);

// Adds the NBD targets that discovery doesn't list to a complete update, which would drain them otherwise.
void AddUnlistedTargets(const nbd::Config& config, EndpointUpdate* update);

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_ENDPOINT_LIST_H_
