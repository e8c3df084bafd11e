#include "lab/soak/discovery_recorder.h"

#include "core/clock.h"

namespace walnutspur::lab::soak {

void DiscoveryRecorder::OnEndpointSet(int revision, const ListedEndpoint& endpoint) {
  const bool is_active = endpoint.state == EndpointState::kActive;
  record_->changes.push_back({core::Now(), revision, endpoint.id, is_active});
}

void DiscoveryRecorder::OnListWritten(int client, int revision) {
  record_->lists.push_back({core::Now(), client, revision});
}

void DiscoveryRecorder::OnCallFailed(int client) { record_->failed_calls[client].push_back(core::Now()); }

void DiscoveryRecorder::OnOutageEnded(Time began_at) { record_->outages.push_back({began_at, core::Now()}); }

}  // namespace walnutspur::lab::soak
