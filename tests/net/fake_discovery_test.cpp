// Tests the fake discovery service that tests and benchmarks share. They set an endpoint, start an initiator
// and rely on the first list. If an endpoint were missing from it, the failure would look like a fault of the
// initiator.
#include <doctest/doctest.h>

#include <string>

#include "lab/fakes/discovery_thread.h"
#include "loopback_socket.h"

namespace walnutspur::test {
namespace {

constexpr int kTimeoutMs = 2'000;

// Opens a watch and returns its socket.
Socket Watch(const lab::DiscoveryThread& discovery) {
  Socket socket = Socket::Connect(discovery.port());
  REQUIRE(socket.Send("GET /api/targets?follow=1 HTTP/1.1\r\nHost: s\r\n\r\n"));
  return socket;
}

// Returns the next endpoint list, skipping heartbeats before it; empty if none arrives in time.
std::string NextList(Socket& socket) {
  while (true) {
    const std::size_t begin = socket.received.find('{');
    const std::size_t end = socket.received.find('\n', begin);
    if (begin != std::string::npos && end != std::string::npos) {
      std::string list = socket.received.substr(begin, end - begin);
      socket.received.erase(0, end + 1);
      return list;
    }
    if (!socket.Fill(kTimeoutMs)) {
      return "";
    }
  }
}

bool Contains(const std::string& list, const std::string& text) {
  return list.find(text) != std::string::npos;
}

}  // namespace

TEST_CASE("fake discovery service: an endpoint that is set before a call is in the response") {
  for (int round = 0; round < 50; ++round) {
    lab::DiscoveryThread discovery;
    discovery.Set({"a", "127.0.0.1:1"});
    Socket watch = Watch(discovery);
    const std::string list = NextList(watch);
    CHECK(Contains(list, R"("complete":true)"));
    CHECK(Contains(list, R"("id":"a")"));
    CHECK(Contains(list, R"("phase":"SERVING")"));
  }
}

TEST_CASE("fake discovery service: a terminated endpoint is in the delta and in no later list") {
  lab::DiscoveryThread discovery;
  discovery.Set({"a", "127.0.0.1:1"});
  Socket watch = Watch(discovery);
  REQUIRE(Contains(NextList(watch), R"("id":"a")"));
  discovery.Set({"a", "127.0.0.1:1", EndpointState::kTerminated});
  const std::string change = NextList(watch);
  CHECK(Contains(change, R"("complete":false)"));
  CHECK(Contains(change, R"("phase":"DELETED")"));
  Socket later_watch = Watch(discovery);
  const std::string list = NextList(later_watch);
  CHECK(Contains(list, R"("complete":true)"));
  CHECK_FALSE(Contains(list, R"("id":"a")"));
}

}  // namespace walnutspur::test
