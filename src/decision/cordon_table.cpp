#include "decision/cordon_table.h"

#include <set>
#include <utility>

namespace walnutspur::decision {

bool CordonTable::IsKnown(const TargetId& target) const {
  return listed_.contains(target) || removed_.contains(target) || IsCordoned(target);
}

void CordonTable::Remove(const TargetId& target) {
  if (listed_.erase(target) > 0) {
    removed_.Add(target);
  }
}

EndpointUpdate CordonTable::ChangeOf(const TargetId& target, EndpointState state) const {
  EndpointUpdate update;
  update.kind = EndpointUpdateKind::kOverride;
  const auto listed = listed_.find(target);
  if (listed != listed_.end() && listed->second.state == EndpointState::kActive) {
    update.endpoints = {listed->second};
    update.endpoints.front().state = state;
  }
  return update;
}

EndpointUpdate CordonTable::Overlay(EndpointUpdate update) {
  std::set<TargetId> unlisted;
  if (update.kind == EndpointUpdateKind::kFull || update.kind == EndpointUpdateKind::kCached) {
    for (const auto& [id, endpoint] : listed_) {
      unlisted.insert(id);
    }
  }
  for (Endpoint& endpoint : update.endpoints) {
    listed_[endpoint.target] = endpoint;
    if (endpoint.state == EndpointState::kTerminated) {
      unlisted.insert(endpoint.target);
      continue;
    }
    unlisted.erase(endpoint.target);
    if (endpoint.state == EndpointState::kActive && IsCordoned(endpoint.target)) {
      endpoint.state = EndpointState::kDraining;
    }
  }
  for (const TargetId& target : unlisted) {
    Remove(target);
  }
  return update;
}

std::optional<EndpointUpdate> CordonTable::Cordon(const TargetId& target, Time now) {
  return IsKnown(target) ? std::optional(Adopt(target, now)) : std::nullopt;
}

EndpointUpdate CordonTable::Adopt(const TargetId& target, Time now) {
  cordoned_.emplace(target, now);
  return ChangeOf(target, EndpointState::kDraining);
}

std::optional<EndpointUpdate> CordonTable::Uncordon(const TargetId& target, Time now) {
  if (!IsKnown(target)) {
    return std::nullopt;
  }
  const auto cordon = cordoned_.find(target);
  if (cordon == cordoned_.end()) {
    return EndpointUpdate{EndpointUpdateKind::kOverride, {}};
  }
  // Operators restart a target that they have taken out. A list that states no start since then is outdated,
  // and without a slow start the restarted target would be overloaded.
  EndpointUpdate update = ChangeOf(target, EndpointState::kActive);
  for (Endpoint& endpoint : update.endpoints) {
    if (endpoint.started_at - endpoint.clock_offset <= cordon->second) {
      endpoint.started_at = now + endpoint.clock_offset;
    }
  }
  cordoned_.erase(cordon);
  if (!listed_.contains(target)) {
    removed_.Add(target);
  }
  return update;
}

}  // namespace walnutspur::decision
