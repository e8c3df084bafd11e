// Tests the messages between a process and the one that replaces it.
#include "upgrade/handover_message.h"

#include <doctest/doctest.h>

#include <string>
#include <variant>

#include "app/platform.h"
#include "http/endpoint_list_cache.h"

namespace walnutspur::test {
namespace {

using upgrade::CordonNotice;
using upgrade::FormatMessage;
using upgrade::JoinRequest;
using upgrade::ParseMessage;
using upgrade::ProcessState;
using upgrade::ReadyNotice;

// Returns a formatted message without its line end.
std::string Line(const upgrade::HandoverMessage& message) {
  std::string line = FormatMessage(message);
  REQUIRE(line.find('\n') == line.size() - 1);
  line.pop_back();
  return line;
}

TEST_CASE("handover message: each kind is parsed as it was formatted") {
  ProcessState state;
  state.discovery = "127.0.0.1:8500";
  state.endpoint_list = {{"revision", 41}};
  state.cordoned = {"a", "b c\n"};
  const auto parsed = ParseMessage(Line(state));
  REQUIRE(parsed);
  REQUIRE(std::holds_alternative<ProcessState>(*parsed));
  const auto& read = std::get<ProcessState>(*parsed);
  CHECK(read.discovery == state.discovery);
  CHECK(read.endpoint_list == state.endpoint_list);
  CHECK(read.cordoned == state.cordoned);
  CHECK(std::holds_alternative<JoinRequest>(*ParseMessage(Line(JoinRequest{}))));
  CHECK(std::holds_alternative<ReadyNotice>(*ParseMessage(Line(ReadyNotice{}))));
  const auto cordon = ParseMessage(Line(CordonNotice{"a", false}));
  REQUIRE(cordon);
  CHECK(std::get<CordonNotice>(*cordon).target == "a");
  CHECK_FALSE(std::get<CordonNotice>(*cordon).cordoned);
}

TEST_CASE("handover message: messages of other versions are ignored or read as far as they are known") {
  CHECK_FALSE(ParseMessage(R"({"kind":"latency","p50":3})"));
  CHECK_FALSE(ParseMessage(R"({"version":3})"));
  const auto state = ParseMessage(R"({"kind":"state","shards":[1],"cordoned":["a"]})");
  REQUIRE(state);
  CHECK(std::get<ProcessState>(*state).cordoned == std::vector<TargetId>{"a"});
  CHECK(std::get<ProcessState>(*state).endpoint_list.is_null());
}

TEST_CASE("handover message: a message that is cut off at any byte, or has wrong types, is ignored") {
  const std::string line = Line(CordonNotice{"target", true});
  for (std::size_t size = 0; size < line.size(); ++size) {
    CHECK_FALSE(ParseMessage(line.substr(0, size)));
  }
  for (const char* malformed : {"3", "[]", R"({"kind":3})", R"({"kind":"cordon","target":1,"cordoned":true})",
                                R"({"kind":"cordon","target":"a"})", R"({"kind":"state","cordoned":"a"})"}) {
    CHECK_FALSE(ParseMessage(malformed));
  }
}

TEST_CASE("endpoint list cache: the list that it formats is read as the one that discovery sent") {
  http::Config config;
  config.names.zones = {"east", "west"};
  config.names.kinds = {"small", "large"};
  const auto apply = [&config](http::EndpointListCache* cache, const char* text) {
    cache->Apply(http::ReadEndpointList(config, nlohmann::json::parse(text)));
  };
  http::EndpointListCache cache;
  CHECK(cache.Format(config.names).is_null());
  apply(&cache, R"({"revision":41,"complete":true,"members":[
    {"id":"a","host_port":"10.0.0.1:1","locality":"west","flavor":"large","cell":3,"phase":"SERVING","size":2.0,
     "up_since_ms":1700000000000},
    {"id":"b","host_port":"10.0.0.2:1","locality":"east","flavor":"small","cell":1,"phase":"SERVING"},
    {"id":"c","host_port":"10.0.0.3:1","locality":"east","flavor":"small","cell":2,"phase":"SERVING"}]})");
  apply(&cache, R"({"revision":43,"complete":false,"members":[{"id":"b","phase":"DRAINING","cell":1},
    {"id":"c","phase":"DELETED","cell":2}]})");
  const http::EndpointList read = http::ReadEndpointList(config, cache.Format(config.names));
  CHECK(read.revision == 43);
  CHECK(read.complete);
  REQUIRE(read.endpoints.size() == 3);
  const Endpoint& first = read.endpoints[0];
  CHECK(first.target == "a");
  CHECK(first.state == EndpointState::kActive);
  CHECK(first.shard == 3);
  CHECK(first.zone == 1);
  CHECK(first.target_type == 1);
  CHECK(first.relative_capacity == 2.0);
  CHECK(first.started_at == Time{1'700'000'000'000'000});
  CHECK(read.addresses[0] == "10.0.0.1:1");
  CHECK(read.endpoints[1].state == EndpointState::kDraining);
  CHECK(read.endpoints[2].target == "c");
  CHECK(read.endpoints[2].state == EndpointState::kTerminated);
}

}  // namespace
}  // namespace walnutspur::test
