#include "lab/fakes/endpoint_list.h"

#include <nlohmann/json.hpp>

namespace walnutspur::lab {
namespace {

const char* PhaseOf(EndpointState state) {
  switch (state) {
    case EndpointState::kActive:
      return "SERVING";
    case EndpointState::kDraining:
      return "DRAINING";
    case EndpointState::kTerminated:
      return "DELETED";
  }
  return "";
}

}  // namespace

std::string FormatEndpointList(int revision, bool complete, const std::vector<ListedEndpoint>& endpoints) {
  nlohmann::json list = {
      {"revision", revision}, {"complete", complete}, {"members", nlohmann::json::array()}};
  for (const ListedEndpoint& endpoint : endpoints) {
    list["members"].push_back({{"id", endpoint.id},
                               {"host_port", endpoint.address},
                               {"locality", "a"},
                               {"flavor", "x"},
                               {"cell", endpoint.shard},
                               {"phase", PhaseOf(endpoint.state)},
                               {"size", 1.0},
                               {"up_since_ms", endpoint.started_at_ms}});
  }
  return list.dump();
}

}  // namespace walnutspur::lab
