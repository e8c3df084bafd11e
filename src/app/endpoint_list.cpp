#include "app/endpoint_list.h"

#include <cstddef>
#include <set>

namespace walnutspur::app {

void UpdateAddresses(const EndpointUpdate& update, const http::EndpointList& list,
                     http::TargetPool* targets) {
  for (std::size_t i = 0; i < list.endpoints.size(); ++i) {
    const Endpoint& endpoint = list.endpoints[i];
    if (endpoint.state == EndpointState::kTerminated) {
      targets->Remove(endpoint.target);
    } else if (!list.addresses[i].empty()) {
      targets->SetAddress(endpoint.target, list.addresses[i]);
    }
  }
  if (update.kind != EndpointUpdateKind::kFull) {
    return;
  }
  std::set<TargetId> listed;
  for (const Endpoint& endpoint : list.endpoints) {
    listed.insert(endpoint.target);
  }
  targets->RetainOnly(listed);
}

void AddUnlistedTargets(const nbd::Config& config, EndpointUpdate* update) {
  if (update->kind != EndpointUpdateKind::kFull && update->kind != EndpointUpdateKind::kCached) {
    return;
  }
  for (const nbd::Target& target : config.targets) {
    if (target.listed) {
      continue;
    }
    Endpoint endpoint;
    endpoint.target = target.id;
    endpoint.shard = target.shard;
    endpoint.accepts_new_objects = false;
    update->endpoints.push_back(endpoint);
  }
}

}  // namespace walnutspur::app
