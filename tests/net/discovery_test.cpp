// Tests the discovery client: failed watches, a service whose address changes, and the parsing of lists.
#include <doctest/doctest.h>

#include <thread>

#include "app/platform.h"
#include "core/scheduler_thread.h"
#include "http/messages.h"
#include "scenario_runner.h"

namespace walnutspur::test {
namespace {

using core::Protocol;

TEST_CASE("discovery: after a closed watch or a 503, the next watch resumes from the cached revision") {
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

TEST_CASE("discovery: a silent watch is abandoned and opened again") {
  ScenarioRunner runner(Protocol::kHttp);
  const Time before = core::Now();
  runner.Play("discovery expect watch since=42");
  CHECK(core::Now() - before < 5'500'000);
}

TEST_CASE(
    "SIGHUP: a new discovery address is watched at once from a full list; requests and connections "
    "continue") {
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

TEST_CASE("SIGHUP: an invalid file keeps the old configuration, and the next valid file is applied") {
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

TEST_CASE("SIGHUP: a failed watch at the new discovery address is retried") {
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

TEST_CASE("ReadEndpointList: an unknown phase counts as draining, and start times are in microseconds") {
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

// A change counts as notified after 6 s. The next call must therefore follow any failed call soon enough that
// its response arrives within that time. The runner waits no longer than that.
TEST_CASE("discovery: after any failed call the watch is opened again in time, and a drain takes effect") {
  ScenarioRunner runner(Protocol::kHttp);
  runner.Play("discovery close\n discovery expect watch");
  SUBCASE("the service is silent from the start") {}
  SUBCASE("the service rejects two watches with 503") {
    runner.Play("discovery send 503\n discovery expect watch\n discovery send 503");
  }
  SUBCASE("the service closes the watch in the middle of a list") {
    runner.WriteDiscovery(R"({"revision":43,"complete":true,"members":[{"id":"a")", 1'000);
    runner.Play("discovery close");
  }
  SUBCASE("the service is silent in the middle of a list") {
    runner.WriteDiscovery(R"({"revision":43,"complete":true,"members":[{"id":"a")", 1'000);
  }
  SUBCASE("the service moves, SIGHUP arrives twice, and the new watch is closed") {
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

TEST_CASE("initiator: without an endpoint list it becomes ready in time and rejects requests") {
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
