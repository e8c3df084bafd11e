#include "http/endpoint_list_cache.h"

namespace walnutspur::http {
namespace {

constexpr Time kMicrosecondsPerMillisecond = 1000;

const char* PhaseOf(EndpointState state) {
  switch (state) {
    case EndpointState::kActive:
      return "SERVING";
    case EndpointState::kDraining:
      return "DRAINING";
    case EndpointState::kTerminated:
      return "DELETED";
  }
  return "DELETED";
}

// Returns the name with this index, or an empty string.
std::string NameAt(const std::vector<std::string>& names, int index) {
  const auto position = static_cast<std::size_t>(index);
  return position < names.size() ? names[position] : "";
}

}  // namespace

void EndpointListCache::Apply(const EndpointList& list) {
  std::map<TargetId, Entry> former;
  if (list.complete) {
    former.swap(entries_);
  }
  revision_ = list.revision;
  for (std::size_t i = 0; i < list.endpoints.size(); ++i) {
    const walnutspur::Endpoint& endpoint = list.endpoints[i];
    if (endpoint.state == EndpointState::kTerminated) {
      entries_.erase(endpoint.target);
      removed_.Add(endpoint.target);
    } else {
      entries_[endpoint.target] = {endpoint, list.addresses[i]};
    }
  }
  for (const auto& [id, entry] : former) {
    if (!entries_.contains(id)) {
      removed_.Add(id);
    }
  }
}

nlohmann::json EndpointListCache::Format(const Names& names) const {
  if (entries_.empty()) {
    return {};
  }
  nlohmann::json members = nlohmann::json::array();
  for (const auto& [id, entry] : entries_) {
    const walnutspur::Endpoint& endpoint = entry.endpoint;
    members.push_back({{"id", id},
                       {"host_port", entry.address},
                       {"locality", NameAt(names.zones, endpoint.zone)},
                       {"flavor", NameAt(names.kinds, endpoint.target_type)},
                       {"cell", endpoint.shard},
                       {"phase", PhaseOf(endpoint.state)},
                       {"size", endpoint.relative_capacity},
                       {"up_since_ms", endpoint.started_at / kMicrosecondsPerMillisecond}});
  }
  for (const TargetId& id : removed_.ids()) {
    if (!entries_.contains(id)) {
      members.push_back({{"id", id}, {"phase", PhaseOf(EndpointState::kTerminated)}});
    }
  }
  return {{"revision", revision_}, {"complete", true}, {"members", members}};
}

}  // namespace walnutspur::http
