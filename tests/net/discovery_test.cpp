// Discovery: watches that fail, a service that moves, and how a list is read.
#include <doctest/doctest.h>

#include <thread>

#include "app/platform.h"
#include "core/scheduler_thread.h"
#include "http/messages.h"
#include "scenario_runner.h"

namespace walnutspur::test {
namespace {

using core::Protocol;

TEST_CASE("discovery: after a failed call or a reset the watch resumes from the cached revision") {
  ScenarioRunner runner(Protocol::kHttp);
  runner.Play(R"(
    discovery close
    discovery expect watch since=42
    discovery send 503
    discovery expect watch since=42
    discovery send delta a=DRAINING
    wait 30
    client c send read
    client c expect refused
    target a expect nothing 100)");
}

TEST_CASE("discovery: a silent watch is abandoned") {
  ScenarioRunner runner(Protocol::kHttp);
  const Time before = core::Now();
  runner.Play("discovery expect watch since=42");
  CHECK(core::Now() - before < 5'500'000);
}

TEST_CASE(
    "SIGHUP: the new discovery is watched at once, from a full list; requests and connections continue") {
  ScenarioRunner runner(Protocol::kHttp);
  runner.Play(R"(
    client c send read
    target a expect read
    discovery moves
    signal HUP
    signal HUP
    discovery expect watch)");
  CHECK(runner.last_watch_request().find("since") == std::string::npos);
  runner.Play(R"(
    discovery send a=SERVING b=DRAINING
    target a send ok
    client c expect served
    client c send read
    target a expect read
    target a send ok
    client c expect served
    client bob send read
    client bob expect refused
    target b expect nothing 100
    signal HUP
    wait 50
    discovery send delta a=DRAINING
    wait 30
    client c send read
    client c expect refused
    signal TERM
    signal HUP)");
  CHECK(runner.target_connections("a") == 1);
  CHECK(runner.WaitForExit(4'000));
}

TEST_CASE("SIGHUP with an invalid file keeps the old configuration; the next valid one is applied") {
  ScenarioRunner runner(Protocol::kHttp);
  runner.Play(R"(
    config bad
    signal HUP
    wait 50
    discovery send delta b=DRAINING
    wait 30
    client bob send read
    client bob expect refused
    discovery moves
    config good
    signal HUP
    discovery expect watch
    discovery send a=SERVING b=SERVING
    wait 30
    client bob send read
    target b expect read
    target b send ok
    client bob expect served)");
}

TEST_CASE("SIGHUP: a watch of the new discovery that fails is retried") {
  ScenarioRunner runner(Protocol::kHttp);
  runner.Play(R"(
    discovery moves
    signal HUP
    discovery expect watch
    discovery close
    discovery expect watch
    discovery send a=SERVING b=DRAINING
    wait 30
    client bob send read
    client bob expect refused)");
}

TEST_CASE("a list entry: an unknown phase accepts nothing new, times are microseconds") {
  const http::Config config = app::ParseConfig([] {
    auto json = BasicConfig();
    json["discovery"] = "127.0.0.1:1";
    return json;
  }());
  const auto list =
      http::ReadEndpointList(config, nlohmann::json::parse(R"({"revision":7,"complete":true,"members":[
      {"id":"x","phase":"ODD","up_since_ms":5,"cell":2},{"id":"y","phase":"DELETED"},{"id":"z","phase":"SERVING"}]})"));
  CHECK(list.endpoints[0].state == EndpointState::kDraining);
  CHECK(list.endpoints[0].started_at == 5000);
  CHECK(list.endpoints[0].shard == 2);
  CHECK(list.endpoints[1].state == EndpointState::kTerminated);
  CHECK(list.endpoints[2].state == EndpointState::kActive);
  CHECK_THROWS(http::ReadEndpointList(config, nlohmann::json::parse(R"({"revision":7})")));
}

// However a call fails, the next one follows soon enough to respond within 6 s, after which a change counts
// as announced. The runner waits no longer than that.
TEST_CASE("after any failed call the watch is repeated in time, and the drain that it brings is respected") {
  ScenarioRunner runner(Protocol::kHttp);
  runner.Play("discovery close\n discovery expect watch");
  SUBCASE("silent from the first byte") {}
  SUBCASE("rejected with 503, twice") {
    runner.Play("discovery send 503\n discovery expect watch\n discovery send 503");
  }
  SUBCASE("cut in the middle of a response") {
    runner.WriteDiscovery(R"({"revision":43,"complete":true,"members":[{"id":"a")", 1'000);
    runner.Play("discovery close");
  }
  SUBCASE("silent in the middle of a response") {
    runner.WriteDiscovery(R"({"revision":43,"complete":true,"members":[{"id":"a")", 1'000);
  }
  SUBCASE("moved to a dead address and back, twice in a row") {
    runner.Play("discovery moves\n signal HUP\n signal HUP\n discovery expect watch\n discovery close");
  }
  runner.Play(R"(
    discovery expect watch
    discovery send a=DRAINING b=SERVING
    client bb send read
    target b expect read
    target b send ok
    client bb expect served
    client c send read
    target a expect nothing 100)");
}

TEST_CASE("a process without an endpoint list still becomes ready in time, and rejects requests") {
  auto config = BasicConfig();
  int port = 0;
  Socket discovery = Socket::Listen(&port);
  config["discovery"] = "127.0.0.1:" + std::to_string(port);
  SUBCASE("discovery is silent") {}
  SUBCASE("discovery is down") { discovery.Close(); }
  SUBCASE("the known list is empty and incomplete") {
    config["known"] = {{"revision", 1}, {"complete", false}, {"members", nlohmann::json::array()}};
  }
  app::Options options;
  options.ready_timeout = 100'000;
  app::Initiator initiator(app::ParseConfig(config), options);
  std::thread loop([&] { initiator.Run(); });
  Socket client = Socket::Connect(initiator.http_front_end().port());
  HttpMessage response;
  const Time end = core::Now() + 4'000'000;
  do {
    client.Send(kReadinessRequest);
    CHECK(ReadHttpMessage(client, &response, 1'000));
  } while (response.start_line.find("503") != std::string::npos && core::Now() < end);
  CHECK(response.start_line == "HTTP/1.1 200 OK");
  client.Send("GET " + kObjectPath +
              " HTTP/1.1\r\nX-Request-Id: 9b1f03aa5c7e2d41\r\nX-Class: quick\r\nX-Plan: basic\r\nX-Deadline: "
              "1.2\r\nX-IO: units=1,shard=0,hosts=1\r\n\r\n");
  CHECK(ReadHttpMessage(client, &response, 4'000));
  CHECK(response.Status() == "503");
  initiator.StopNow();
  loop.join();
}

}  // namespace
}  // namespace walnutspur::test
