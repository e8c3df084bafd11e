#include "decision/cordon_table.h"

#include <utility>

namespace walnutspur::decision {
namespace {

// Returns an update that changes one endpoint, or none if the endpoint is not listed as active: then neither
// a cordon nor its end changes its state.
EndpointUpdate ChangeOf(const Endpoint& listed, EndpointState state) {
  EndpointUpdate update;
  update.kind = EndpointUpdateKind::kOverride;
  if (listed.state == EndpointState::kActive) {
    update.endpoints = {listed};
    update.endpoints.front().state = state;
  }
  return update;
}

}  // namespace

EndpointUpdate CordonTable::Overlay(EndpointUpdate update) {
  if (update.kind == EndpointUpdateKind::kFull || update.kind == EndpointUpdateKind::kCached) {
    for (auto& [id, endpoint] : listed_) {
      endpoint.state = EndpointState::kTerminated;
    }
  }
  for (Endpoint& endpoint : update.endpoints) {
    listed_[endpoint.target] = endpoint;
    if (endpoint.state == EndpointState::kActive && IsCordoned(endpoint.target)) {
      endpoint.state = EndpointState::kDraining;
    }
  }
  return update;
}

EndpointUpdate CordonTable::CordonListed(const Endpoint& listed, Time now) {
  cordoned_.emplace(listed.target, now);
  return ChangeOf(listed, EndpointState::kDraining);
}

std::optional<EndpointUpdate> CordonTable::Cordon(const TargetId& target, Time now) {
  const auto listed = listed_.find(target);
  if (listed == listed_.end()) {
    return std::nullopt;
  }
  return CordonListed(listed->second, now);
}

EndpointUpdate CordonTable::Adopt(const TargetId& target, Time now) {
  Endpoint unlisted;
  unlisted.target = target;
  unlisted.state = EndpointState::kTerminated;
  return CordonListed(listed_.emplace(target, unlisted).first->second, now);
}

std::optional<EndpointUpdate> CordonTable::Uncordon(const TargetId& target, Time now) {
  const auto found = listed_.find(target);
  if (found == listed_.end()) {
    return std::nullopt;
  }
  const auto cordon = cordoned_.find(target);
  if (cordon == cordoned_.end()) {
    return EndpointUpdate{EndpointUpdateKind::kOverride, {}};
  }
  // Operators restart a target that they have taken out. A list that states no start since then is outdated,
  // and without a slow start the cold target would be overloaded.
  Endpoint listed = found->second;
  if (listed.started_at - listed.clock_offset <= cordon->second) {
    listed.started_at = now + listed.clock_offset;
  }
  cordoned_.erase(cordon);
  return ChangeOf(listed, EndpointState::kActive);
}

}  // namespace walnutspur::decision
