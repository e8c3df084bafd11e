#include "http/endpoint_list.h"

#include <algorithm>
#include <utility>

#include "core/clock.h"

namespace walnutspur::http {
namespace {

using nlohmann::json;

constexpr Time kMicrosecondsPerMillisecond = 1000;

// Treats an unknown phase as draining, so that the endpoint gets no new work.
EndpointState ReadState(const std::string& phase) {
  if (phase == "SERVING") {
    return EndpointState::kActive;
  }
  if (phase == "DELETED") {
    return EndpointState::kTerminated;
  }
  return EndpointState::kDraining;
}

walnutspur::Endpoint ReadEndpoint(const Names& names, const json& member) {
  walnutspur::Endpoint endpoint;
  endpoint.target = member.at("id").get<std::string>();
  endpoint.state = ReadState(member.at("phase").get<std::string>());
  endpoint.shard = member.value("cell", 0);
  endpoint.zone = std::max(0, IndexOf(names.zones, member.value("locality", "")));
  endpoint.target_type = std::max(0, IndexOf(names.kinds, member.value("flavor", "")));
  endpoint.relative_capacity = member.value("size", 1.0);
  endpoint.started_at = member.value("up_since_ms", Time{0}) * kMicrosecondsPerMillisecond;
  return endpoint;
}

// Sets the offset from this machine's monotonic clock to the wall clock that the list's start times refer to.
// If this machine's wall clock is behind a start time in the list, it is wrong, and the latest start time
// is used instead.
void SetClockOffset(const ClockReading& clock, EndpointList* list) {
  Time wall_clock = clock.wall_clock;
  for (const walnutspur::Endpoint& endpoint : list->endpoints) {
    wall_clock = std::max(wall_clock, endpoint.started_at);
  }
  for (walnutspur::Endpoint& endpoint : list->endpoints) {
    endpoint.clock_offset = wall_clock - clock.now;
  }
}

}  // namespace

ClockReading ReadClocks() { return {core::Now(), core::WallClock()}; }

EndpointList ReadEndpointList(const Config& config, const json& json, const ClockReading& clock) {
  EndpointList list;
  list.revision = json.at("revision").get<std::int64_t>();
  list.complete = json.at("complete").get<bool>();
  for (const auto& member : json.at("members")) {
    walnutspur::Endpoint endpoint = ReadEndpoint(config.names, member);
    list.addresses.push_back(member.value("host_port", ""));
    list.endpoints.push_back(std::move(endpoint));
  }
  SetClockOffset(clock, &list);
  return list;
}

}  // namespace walnutspur::http
