#include "decision/target.h"

namespace walnutspur::decision {

void TargetState::CopyFrom(const Endpoint& endpoint) {
  id = endpoint.target;
  shard = endpoint.shard;
  zone = endpoint.zone;
  started_at = endpoint.started_at;
  accepts_new_objects = endpoint.accepts_new_objects;
  active = endpoint.state == EndpointState::kActive;
  terminated = endpoint.state == EndpointState::kTerminated;
}

}  // namespace walnutspur::decision
