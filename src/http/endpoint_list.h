// Parses the endpoint lists that the discovery service sends as JSON. Uses no sockets; any thread.
#ifndef WALNUTSPUR_HTTP_ENDPOINT_LIST_H_
#define WALNUTSPUR_HTTP_ENDPOINT_LIST_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http/config.h"

namespace walnutspur::http {

struct EndpointList {
  std::int64_t revision = 0;  // increases with each change; only comparable within one service
  bool complete = false;      // a full list; otherwise the changes since a revision
  std::vector<walnutspur::Endpoint> endpoints;
  std::vector<std::string> addresses;  // "host:port" of each endpoint; empty: unknown
};

// Readings of this machine's monotonic and wall clocks at one moment, us.
struct ClockReading {
  Time now = 0;         // core::Now()
  Time wall_clock = 0;  // core::WallClock()
};
ClockReading ReadClocks();

// Parses a list. Throws std::exception if it is malformed. `clock` must be read when the list arrives.
EndpointList ReadEndpointList(const Config& config, const nlohmann::json& json,
                              const ClockReading& clock = ReadClocks());

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_ENDPOINT_LIST_H_
