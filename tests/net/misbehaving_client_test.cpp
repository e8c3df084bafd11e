// Tests clients that send invalid requests, no bytes, or far too many bytes.
#include <doctest/doctest.h>
#include <poll.h>

#include <chrono>
#include <thread>

#include "http/front_end.h"
#include "scenario_runner.h"

namespace walnutspur::test {
namespace {

using core::Protocol;

const std::string kFields =
    "X-Request-Id: 9b1f03aa5c7e2d41\r\nX-Class: write\r\nX-Plan: basic\r\nX-Deadline: 1.2\r\n"
    "X-IO: units=1,shard=0,hosts=1\r\n";

// Returns a write with the given framing headers and the bytes after them.
std::string WriteRequest(const std::string& framing) {
  return "PUT " + kObjectPath + " HTTP/1.1\r\nHost: s\r\n" + kFields + framing;
}

// Sends the text on a new connection. Returns the status of the response, "closed" if the connection is
// closed without one, or "nothing" after `ms` milliseconds.
std::string StatusFor(const ScenarioRunner& runner, const std::string& text, int ms = 2'900) {
  Socket socket = Socket::Connect(runner.http_port());
  socket.Send(text);
  HttpMessage response;
  if (ReadHttpMessage(socket, &response, ms)) {
    return response.Status();
  }
  return socket.fd() < 0 ? "closed" : "nothing";
}

TEST_CASE("HTTP front end: a request of ambiguous length, and one smuggled in it, do not reach a target") {
  const std::string smuggled = WriteRequest("Content-Length: 0\r\n\r\n");
  const std::string size = std::to_string(smuggled.size());
  const RejectedRequest cases[] = {
      {WriteRequest("Content-Length: " + size + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled),
       "400"},
      {WriteRequest("Transfer-Encoding: chunked\r\nContent-Length: " + size + "\r\n\r\n0\r\n\r\n" + smuggled),
       "400"},
      {WriteRequest("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + smuggled),
       "400"},
      {WriteRequest("Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + smuggled), "400"},
      {WriteRequest("Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + smuggled), "400"},
      {WriteRequest("X: y\r\n Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled), "400"},
      {WriteRequest("Content-Length: 0\r\nContent-Length: " + size + "\r\n\r\n" + smuggled), "400"},
      {WriteRequest("Content-Length: 0, " + size + "\r\n\r\n" + smuggled), "400"},
      {WriteRequest("Content-Length: -1\r\n\r\n" + smuggled), "400"},
      {WriteRequest("Content-Length: +0\r\n\r\n" + smuggled), "400"},
      {WriteRequest("Content-Length: 0x0\r\n\r\n" + smuggled), "400"},
      {WriteRequest("Content-Length: \r\n\r\n" + smuggled), "400"},
      {WriteRequest("Content-Length: 18446744073709551616\r\n\r\n" + smuggled), "413"},
      {WriteRequest("Content-Length: 33554433\r\n\r\n" + smuggled), "413"},
      {WriteRequest("Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n" + smuggled), "400"},
      {WriteRequest("Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n" + smuggled), "400"},
      {WriteRequest("X-Plan: other\r\nContent-Length: 0\r\n\r\n"), "400"},
      {"\x16\x03\x01 noise\r\n\r\n" + smuggled, "400"},
      {"PUT " + kObjectPath + "\r\n" + kFields + "\r\n" + smuggled, "400"},
      {"PUT " + kObjectPath + " HTTP/2.0\r\n" + kFields + "\r\n" + smuggled, "505"},
      {"PUT " + kObjectPath + " HTTP/1.1\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n", "431"},
  };
  ScenarioRunner runner(Protocol::kHttp);
  for (const auto& [text, status] : cases) {
    CAPTURE(text);
    CHECK(StatusFor(runner, text) == status);
  }
  runner.Play("target a expect nothing 100");
}

TEST_CASE("HTTP front end: an incomplete request is rejected within 3 s of connecting") {
  ScenarioRunner runner(Protocol::kHttp);
  std::string part;
  SUBCASE("no bytes") {}
  SUBCASE("half the headers") { part = "PUT " + kObjectPath + " HTTP/1.1\r\nHost"; }
  SUBCASE("half a body") { part = WriteRequest("Content-Length: 100\r\n\r\nhalf"); }
  SUBCASE("half a chunk") { part = WriteRequest("Transfer-Encoding: chunked\r\n\r\n9\r\nhalf"); }
  CHECK(StatusFor(runner, part) == "408");
  runner.Play("target a expect nothing 1");
}

TEST_CASE("HTTP front end: a body that came in time is not rejected because the loop is late to read it") {
  constexpr int kLoopStallMs = 2'700;  // longer than the timeout of a request
  constexpr std::size_t kFirstBytes = 20'000;
  const std::string request = WriteRequest("Content-Length: 60000\r\n\r\n") + std::string(60'000, 'x');
  ScenarioRunner runner(Protocol::kHttp);
  Socket socket = Socket::Connect(runner.http_port());
  REQUIRE(socket.Send(request.substr(0, kFirstBytes)));
  poll(nullptr, 0, 50);  // the front end reads the first part
  runner.StallLoop(kLoopStallMs);
  REQUIRE(socket.Send(request.substr(kFirstBytes)));
  HttpMessage response;
  REQUIRE(ReadHttpMessage(socket, &response, kLoopStallMs + 2'000));
  CHECK(response.Status() == "503");  // its deadline has passed in the meantime
}

TEST_CASE("HTTP front end: bytes that arrive slowly do not postpone the request timeout") {
  ScenarioRunner runner(Protocol::kHttp);
  Socket socket = Socket::Connect(runner.http_port());
  const Time before = core::Now();
  socket.Send("GET " + kObjectPath + " HTTP/1.1\r\n");
  while (!socket.Readable(100) && core::Now() - before < 4'000'000) {
    socket.Send("X: y\r\n");
  }
  CHECK(core::Now() - before < 3'000'000);
}

TEST_CASE(
    "HTTP front end: a huge body is rejected unread and its connection closed, even if the client reads "
    "nothing") {
  ScenarioRunner runner(Protocol::kHttp);
  Socket socket = Socket::Connect(runner.http_port());
  const Time before = core::Now();
  socket.Send(WriteRequest("Content-Length: 60000000\r\n\r\n"));
  std::size_t sent = 0;
  while (sent < 60'000'000 && socket.Send(std::string(65'536, 'x'))) {
    sent += 65'536;
  }
  CHECK(sent < 20'000'000);
  CHECK(core::Now() - before < 3'000'000);
  runner.Play("target a expect nothing 50");
}

TEST_CASE(
    "HTTP front end: a request id in use is rejected and reaches no target; it is free after the response") {
  ScenarioRunner runner(Protocol::kHttp);
  const std::string request = WriteRequest("Content-Length: 0\r\n\r\n");
  Socket first = Socket::Connect(runner.http_port());
  first.Send(request);
  runner.Play("target a expect write");
  CHECK(StatusFor(runner, request) == "409");
  runner.Play("target a expect nothing 50\n target a send ok");
  HttpMessage response;
  REQUIRE(ReadHttpMessage(first, &response, 1'000));
  CHECK(response.start_line == "HTTP/1.1 200 OK");
  first.Send(request);
  runner.Play("target a expect write\n target a send ok");
  REQUIRE(ReadHttpMessage(first, &response, 1'000));
  CHECK(response.start_line == "HTTP/1.1 200 OK");
}

TEST_CASE(
    "HTTP front end: a client that is rejected repeatedly gets a response each time, at a limited rate") {
  ScenarioRunner runner(Protocol::kHttp);
  Socket socket = Socket::Connect(runner.http_port());
  const Time before = core::Now();
  HttpMessage response;
  for (int i = 0; i < 5; ++i) {
    socket.Send("GET /nothing HTTP/1.1\r\nHost: s\r\n\r\n");
    REQUIRE(ReadHttpMessage(socket, &response, 1'000));
    CHECK(response.Status() == "400");
  }
  CHECK(core::Now() - before > 150'000);
  for (int i = 0; i < 100; ++i) {
    socket.Send("GET /nothing HTTP/1.1\r\nHost: s\r\n\r\n");
  }
  while (ReadHttpMessage(socket, &response, 1'000)) {
  }
  CHECK(socket.fd() < 0);  // of 100 pipelined requests, only one gets a response
}

TEST_CASE("HTTP front end: with hundreds of silent connections, regular clients are served at once") {
  auto config = BasicConfig();
  config["limits"]["sockets"] = 100;
  ScenarioRunner runner(Protocol::kHttp, config);
  runner.Play("client c send read\n target a expect read\n target a send ok\n client c expect served");
  std::vector<Socket> silent;
  for (int i = 0; i < 200; ++i) {
    silent.push_back(Socket::Connect(runner.http_port()));
  }
  const Time before = core::Now();
  runner.Play(R"(
    client c send read
    target a expect read
    target a send ok
    client c expect served
    client d send read
    target a expect read
    target a send ok
    client d expect served)");
  CHECK(core::Now() - before < 1'000'000);
  runner.Stop();
  CHECK(runner.initiator().http_front_end().connections() <= 36);
}

TEST_CASE(
    "HTTP front end: a stalled loop does not evict a connection whose request has arrived but is unread") {
  std::unique_ptr<event_base, loop::Deleter<event_base_free>> base(event_base_new());
  http::Config config;
  config.listen = loop::ParseAddress("127.0.0.1:0");
  config.sockets = 4;  // enough for one client
  core::RequestNumbers request_numbers;
  core::MemoryAccount memory(config.memory_bytes());
  http::FrontEnd front(base.get(), config, &request_numbers, &memory, [](core::Input) {});
  front.on_accept = [](bufferevent*) { std::this_thread::sleep_for(std::chrono::milliseconds(60)); };
  Socket first = Socket::Connect(front.port());
  first.Send(kReadinessRequest);
  event_base_loop(base.get(), EVLOOP_NONBLOCK);
  event_base_loop(base.get(), EVLOOP_NONBLOCK);
  HttpMessage response;
  REQUIRE(ReadHttpMessage(first, &response, 1'000));
  CHECK(response.Status() == "503");
}

TEST_CASE("HTTP front end: an idle connection is closed after one request and stays open after several") {
  ScenarioRunner runner(Protocol::kHttp);
  Socket single = Socket::Connect(runner.http_port());
  Socket repeated = Socket::Connect(runner.http_port());
  HttpMessage response;
  repeated.Send(kReadinessRequest);
  REQUIRE(ReadHttpMessage(repeated, &response, 1'000));
  for (Socket* socket : {&single, &repeated}) {
    socket->Send(kReadinessRequest);
    REQUIRE(ReadHttpMessage(*socket, &response, 1'000));
  }
  const Time before = core::Now();
  CHECK_FALSE(single.Fill(3'000));
  CHECK(single.fd() < 0);
  CHECK(core::Now() - before > 1'900'000);  // the protocol allows no earlier close
  CHECK_FALSE(repeated.Readable(300));
}

TEST_CASE("HTTP front end: idle clients with one request are evicted before a client with several") {
  auto config = BasicConfig();
  config["limits"]["sockets"] = 100;
  ScenarioRunner runner(Protocol::kHttp, config);
  runner.Play(R"(
    client c send read
    target a expect read
    target a send ok
    client c expect served
    client c send read
    target a expect read
    target a send ok
    client c expect served)");
  const Time before = core::Now();
  std::vector<Socket> idle;
  HttpMessage response;
  for (int i = 0; i < 100; ++i) {
    idle.push_back(Socket::Connect(runner.http_port()));
    idle.back().Send(kReadinessRequest);
    REQUIRE(ReadHttpMessage(idle.back(), &response, 2'000));
  }
  CHECK(core::Now() - before < 2'000'000);
  runner.Play(R"(
    client c expect nothing 1
    client c send read
    target a expect read
    target a send ok
    client c expect served)");
}

// Guards against a regression: a busy initiator left the last of its client connections in the accept queue.
TEST_CASE("HTTP front end: a connection within the limit is read while all others wait for their responses") {
  auto config = BasicConfig();
  config["limits"]["sockets"] = 100;
  for (auto& request_class : config["settings"]["classes"]) {
    request_class["aim"] = request_class["deadline"] = 9'000'000;
  }
  ScenarioRunner runner(Protocol::kHttp, config);
  std::vector<Socket> busy;
  for (int i = 0; i < 32; ++i) {  // the target never responds
    busy.push_back(Socket::Connect(runner.http_port()));
    busy.back().Send(
        "GET " + kObjectPath + " HTTP/1.1\r\nHost: s\r\nX-Class: read\r\nX-Plan: basic\r\nX-Deadline: 9\r\n" +
        "X-IO: units=1,shard=0,hosts=1\r\nX-Request-Id: " + std::to_string(1000000000000000 + i) +
        "\r\n\r\n");
  }
  CHECK(StatusFor(runner, kReadinessRequest, 4'000) == "200");
}

TEST_CASE("HTTP front end: a client that waits for 100 Continue gets it") {
  ScenarioRunner runner(Protocol::kHttp);
  Socket socket = Socket::Connect(runner.http_port());
  socket.Send(WriteRequest("Expect: 100-continue\r\nContent-Length: 4\r\n\r\n"));
  HttpMessage response;
  REQUIRE(ReadHttpMessage(socket, &response, 1'000));
  CHECK(response.start_line == "HTTP/1.1 100 Continue");
  socket.Send("data");
  runner.Play("target a expect write\n target a send ok");
  REQUIRE(ReadHttpMessage(socket, &response, 1'000));
  CHECK(response.start_line == "HTTP/1.1 200 OK");
}

}  // namespace
}  // namespace walnutspur::test
