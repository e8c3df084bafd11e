// Formats the endpoint list in the format of the platform's discovery service.
//
// Owns nothing; any thread.
#ifndef WALNUTSPUR_LAB_FAKES_ENDPOINT_LIST_H_
#define WALNUTSPUR_LAB_FAKES_ENDPOINT_LIST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "walnutspur/types.h"

namespace walnutspur::lab {

// An entry of the list: a storage server, or an instance of the fleet.
struct ListedEndpoint {
  std::string id;
  std::string address;  // host:port
  EndpointState state = EndpointState::kActive;
  int shard = 0;
  std::int64_t started_at_ms = 0;  // Unix time
};

// Returns the JSON document of one revision. `endpoints` are all endpoints if `complete` is set, otherwise
// those that have changed.
std::string FormatEndpointList(int revision, bool complete, const std::vector<ListedEndpoint>& endpoints);

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_FAKES_ENDPOINT_LIST_H_
