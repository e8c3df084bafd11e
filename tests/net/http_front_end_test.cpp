// Tests the HTTP front end: headers, forwarding, connections and their limits, and invalid requests.
#include <doctest/doctest.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

#include "app/platform.h"
#include "scenario_runner.h"
#include "support/temporary_file.h"

namespace walnutspur::test {
namespace {

using core::Protocol;

TEST_CASE("HTTP front end: a write with a 503 is retried only if X-Not-Run proves that it has not run") {
  ScenarioRunner runner(Protocol::kHttp);
  runner.Play(R"(
    client c send write
    target a expect write
    target a send busy
    target a expect write
    target a send busy-may-have
    client c expect failed
    target a expect nothing 100)");
}

TEST_CASE("HTTP front end: a rejection is sent at once and carries Retry-After") {
  ScenarioRunner runner(Protocol::kHttp);
  runner.Play(R"(
    target a close listener
    client c send write
    client c expect refused)");
  const double after = std::stod(runner.last_response().Header("Retry-After"));
  CHECK(after > 0);
  CHECK(after <= 0.5);
}

TEST_CASE("HTTP front end: body, path, query and id are forwarded byte for byte") {
  ScenarioRunner runner(Protocol::kHttp);
  runner.Play(R"(
    client c send bytes "PUT /api/00000003B4d60021/7f3a9c21e0b4d655?x=%2F%zz&y HTTP/1.1\r\nHost: s\r\nX-Request-Id: 9B1f03aa5c7e2d41\r\nX-Class: write\r\nX-Plan: basic\r\nX-Deadline: 1.20\r\nX-IO: hosts=3, shard=0,units=1\r\nContent-Length: 5\r\n\r\n\x00\xff\n\r\"")");
  runner.Play("target a expect write");
  CHECK(runner.target_http_request("a").start_line ==
        "PUT /api/00000003B4d60021/7f3a9c21e0b4d655?x=%2F%zz&y HTTP/1.1");
  CHECK(runner.target_http_request("a").Header("X-Request-Id") == "9B1f03aa5c7e2d41");
  CHECK(runner.target_http_request("a").body == std::string("\0\xff\n\r\"", 5));
  CHECK(std::stod(runner.target_http_request("a").Header("X-Deadline")) <= 1.2);
  runner.Play(R"(
    target a send ok
    client c expect served
    client c expect text stored)");
}

TEST_CASE("HTTP front end: malformed input gets a 4xx status and does not reach a target") {
  const std::string& path = kObjectPath;
  const std::string id = "X-Request-Id: 9b1f03aa5c7e2d41\r\n";
  const std::string request_class = "X-Class: read\r\n";
  const std::string plan = "X-Plan: basic\r\n";
  const std::string deadline = "X-Deadline: 0.3\r\n";
  const std::string io = "X-IO: units=1,shard=0,hosts=1\r\n";
  const auto get = [&](const std::string& target, const std::string& headers) {
    return "GET " + target + " HTTP/1.1\r\nHost: s\r\n" + headers + "\r\n";
  };
  const RejectedRequest cases[] = {
      {get(path, request_class + plan + deadline + io), "400"},
      {get(path, "X-Request-Id: nonsense\r\n" + request_class + plan + deadline + io), "400"},
      {get(path, id + "X-Class: unknown\r\n" + plan + deadline + io), "400"},
      {get(path, id + request_class + "X-Plan: unknown\r\n" + deadline + io), "400"},
      {get(path, id + request_class + plan + io), "400"},
      {get(path, id + request_class + plan + "X-Deadline: -1\r\n" + io), "400"},
      {get(path, id + request_class + plan + "X-Deadline: nan\r\n" + io), "400"},
      {get(path, id + request_class + plan + "X-Deadline: 1e30\r\n" + io), "400"},
      {get(path, id + "X-Class: write\r\n" + plan + deadline + io), "400"},
      {"PUT " + path + " HTTP/1.1\r\nHost: s\r\n" + id + request_class + plan + deadline + io +
           "Content-Length: 0\r\n\r\n",
       "400"},
      {get(path, id + request_class + plan + deadline), "400"},
      {get(path, id + request_class + plan + deadline + "X-IO: units=0,shard=0,hosts=1\r\n"), "400"},
      {get(path, id + request_class + plan + deadline + "X-IO: units=99,shard=0,hosts=1\r\n"), "400"},
      {get(path, id + request_class + plan + deadline + "X-IO: units=1,shard=4,hosts=1\r\n"), "400"},
      {get(path, id + request_class + plan + deadline + "X-IO: units=1,shard=0,hosts=0\r\n"), "400"},
      {get(path, id + request_class + plan + deadline + "X-IO: units,shard\r\n"), "400"},
      {get("/api/xyz/7f3a9c21e0b4d655", id + request_class + plan + deadline + io), "400"},
      {get("/", id + request_class + plan + deadline + io), "400"},
      {"POST " + path + " HTTP/1.1\r\nHost: s\r\nContent-Length: 0\r\n" + id + request_class + plan +
           deadline + io + "\r\n",
       "405"},
      {"PUT " + path + " HTTP/1.1\r\nHost: s\r\nContent-Length: 33554433\r\n" + id + request_class + plan +
           deadline + io + "\r\n",
       "413"},
      {"FOO " + path + " HTTP/1.1\r\nHost: s\r\n" + id + request_class + plan + deadline + io + "\r\n",
       "405"},
      {"GET\r\n\r\n", "400"},
  };
  ScenarioRunner runner(Protocol::kHttp);
  for (const auto& [text, status] : cases) {
    CAPTURE(text);
    Socket socket = Socket::Connect(runner.http_port());
    socket.Send(text);
    HttpMessage response;
    REQUIRE(ReadHttpMessage(socket, &response, 2'000));
    CHECK(response.Status() == status);
  }
  runner.Play("target a expect nothing 50");
}

// Guards against a crash, or the loss of the next request, if a client pipelines requests.
TEST_CASE("HTTP front end: a pipelined request is served after the one before it") {
  ScenarioRunner runner(Protocol::kHttp);
  runner.Play(R"(
    client c send read
    client c send read
    target a expect read
    target a expect nothing 50
    target a send ok
    client c expect served
    target a expect read
    target a send ok
    client c expect served)");
}

TEST_CASE("TargetPool: connections are reused, and are closed before the targets would close them") {
  ScenarioRunner runner(Protocol::kHttp);
  runner.Play(R"(
    client c send read
    target a expect read
    target a send ok
    client c expect served
    client c send read
    target a expect read
    target a send ok
    client c expect served)");
  CHECK(runner.target_connections("a") == 1);
  // The idle timeout is 3 s. If the machine stalls, one close may be observed late; if the timeout is too
  // long, each close is late.
  Time shortest = 10'000'000;
  for (int i = 0; i < 4 && shortest >= 2'900'000; ++i) {
    const Time before = core::Now();
    runner.Play("target a expect closed");
    shortest = std::min(shortest, core::Now() - before);
    runner.Play(R"(
      client c send read
      target a expect read
      target a send ok
      client c expect served)");
  }
  CHECK(shortest < 2'900'000);
  runner.Play(R"(
    client c send read
    target a expect read
    target a send ok-and-closes
    client c expect served
    target a close
    client c send read
    target a expect read
    target a send ok
    client c expect served)");
}

TEST_CASE("HTTP front end: without free descriptors it keeps running, and accepts again once some are free") {
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  ScenarioRunner runner(Protocol::kHttp);
  std::vector<Socket> many;
  int fds[13];
  for (int& fd : fds) {
    fd = socket(AF_INET, SOCK_STREAM, 0);
  }
  const int used = dup(0);
  close(used);
  const rlimit exhausted{static_cast<rlim_t>(used), before.rlim_max};  // no descriptor is free for accept
  setrlimit(RLIMIT_NOFILE, &exhausted);
  for (const int fd : fds) {
    many.push_back(Socket::Connect(runner.http_port(), fd));
  }
  runner.Play("wait 150");
  many.clear();
  runner.Play("wait 150");
  runner.Play(R"(
    client c send read
    target a expect read
    target a send ok
    client c expect served)");
  setrlimit(RLIMIT_NOFILE, &before);
}

TEST_CASE("HTTP front end: at the connection limit, idle clients are evicted for new ones") {
  auto config = BasicConfig();
  config["limits"]["sockets"] = 100;
  ScenarioRunner runner(Protocol::kHttp, config);
  std::vector<Socket> idle(70);
  const auto send_request = [&runner](Socket& socket) {
    socket = Socket::Connect(runner.http_port());
    socket.Send(kReadinessRequest);
  };
  for (Socket& socket : idle) {
    send_request(socket);
  }
  HttpMessage response;
  // Every client is served eventually. It retries once if its connection was closed before the request was
  // read.
  for (Socket& socket : idle) {
    if (ReadHttpMessage(socket, &response, 4'000)) {
      continue;
    }
    send_request(socket);
    CHECK(ReadHttpMessage(socket, &response, 4'000));
  }
  runner.Play(R"(
    client c send read
    target a expect read
    target a send ok
    client c expect served)");
}

TEST_CASE("LoadConfig: an invalid configuration is reported in one line") {
  for (const char* text :
       {"", "{", "{}", R"({"listen":"x"})", R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:x"})",
        R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","settings":{}})"}) {
    CAPTURE(text);
    const TemporaryFile file(text);
    try {
      app::LoadConfig(file.path());
      FAIL("an invalid configuration was accepted");
    } catch (const std::exception& error) {
      CHECK(std::string(error.what()).find('\n') == std::string::npos);
    }
  }
  CHECK_THROWS(app::LoadConfig("/nowhere"));
  auto config = BasicConfig();
  config["discovery"] = "127.0.0.1:1";
  config["known"] = {{"revision", "x"}};
  CHECK_THROWS_WITH(app::Initiator(app::ParseConfig(config)), doctest::Contains("'known'"));
}

}  // namespace
}  // namespace walnutspur::test
