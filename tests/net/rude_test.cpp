// Clients that send what cannot be taken, or nothing, or far too much.
#include <doctest/doctest.h>

#include <chrono>
#include <thread>

#include "http/front_end.h"
#include "scenario_runner.h"

namespace walnutspur::test {
namespace {

using core::Protocol;

const std::string kPath = "/api/00000003b4d60021/7f3a9c21e0b4d655";
const std::string kFields =
    "X-Request-Id: 9b1f03aa5c7e2d41\r\nX-Class: write\r\nX-Plan: basic\r\nX-Deadline: 1.2\r\n"
    "X-IO: units=1,shard=0,hosts=1\r\n";

std::string Put(const std::string& framing) {
  return "PUT " + kPath + " HTTP/1.1\r\nHost: s\r\n" + kFields + framing;
}

// Sends the text and returns the status of the answer, "closed", or "nothing" if neither came in time.
std::string Told(const ScenarioRunner& stage, const std::string& text, int ms = 2'900) {
  Socket socket = Socket::Connect(stage.http_port());
  socket.Send(text);
  Message answer;
  if (ReadMessage(socket, &answer, ms)) return answer.start.substr(9, 3);
  return socket.fd() < 0 ? "closed" : "nothing";
}

TEST_CASE("a length that can be read in two ways reaches no target, nor does what it may hide") {
  const std::string hidden = Put("Content-Length: 0\r\n\r\n");
  const std::string size = std::to_string(hidden.size());
  const std::pair<std::string, const char*> cases[] = {
      {Put("Content-Length: " + size + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden), "400"},
      {Put("Transfer-Encoding: chunked\r\nContent-Length: " + size + "\r\n\r\n0\r\n\r\n" + hidden), "400"},
      {Put("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + hidden), "400"},
      {Put("Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + hidden), "400"},
      {Put("Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + hidden), "400"},
      {Put("X: y\r\n Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden), "400"},
      {Put("Content-Length: 0\r\nContent-Length: " + size + "\r\n\r\n" + hidden), "400"},
      {Put("Content-Length: 0, " + size + "\r\n\r\n" + hidden), "400"},
      {Put("Content-Length: -1\r\n\r\n" + hidden), "400"},
      {Put("Content-Length: +0\r\n\r\n" + hidden), "400"},
      {Put("Content-Length: 0x0\r\n\r\n" + hidden), "400"},
      {Put("Content-Length: \r\n\r\n" + hidden), "400"},
      {Put("Content-Length: 18446744073709551616\r\n\r\n" + hidden), "413"},
      {Put("Content-Length: 65537\r\n\r\n" + hidden), "413"},
      {Put("Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n" + hidden), "400"},
      {Put("Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n" + hidden), "400"},
      {Put("X-Plan: other\r\nContent-Length: 0\r\n\r\n"), "400"},
      {"\x16\x03\x01 noise\r\n\r\n" + hidden, "400"},
      {"PUT " + kPath + "\r\n" + kFields + "\r\n" + hidden, "400"},
      {"PUT " + kPath + " HTTP/2.0\r\n" + kFields + "\r\n" + hidden, "505"},
      {"PUT " + kPath + " HTTP/1.1\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n", "431"},
  };
  ScenarioRunner stage(Protocol::kHttp);
  for (const auto& [text, status] : cases) {
    CAPTURE(text);
    CHECK(Told(stage, text) == status);
  }
  stage.Play("box a expect nothing 100");
}

TEST_CASE("a client that does not get to the end of its request is told so within 3 s of connecting") {
  ScenarioRunner stage(Protocol::kHttp);
  std::string part;
  SUBCASE("it says nothing") {}
  SUBCASE("half a head") { part = "PUT " + kPath + " HTTP/1.1\r\nHost"; }
  SUBCASE("half a body") { part = Put("Content-Length: 100\r\n\r\nhalf"); }
  SUBCASE("half a chunk") { part = Put("Transfer-Encoding: chunked\r\n\r\n9\r\nhalf"); }
  CHECK(Told(stage, part) == "408");
  stage.Play("box a expect nothing 1");
}

TEST_CASE("bytes that trickle in do not put off the end") {
  ScenarioRunner stage(Protocol::kHttp);
  Socket socket = Socket::Connect(stage.http_port());
  const Time before = core::Now();
  socket.Send("GET " + kPath + " HTTP/1.1\r\n");
  while (!socket.Readable(100) && core::Now() - before < 4'000'000) socket.Send("X: y\r\n");
  CHECK(core::Now() - before < 3'000'000);
}

TEST_CASE("a huge body is turned away unread and its connection ended, whether or not the client reads") {
  ScenarioRunner stage(Protocol::kHttp);
  Socket socket = Socket::Connect(stage.http_port());
  const Time before = core::Now();
  socket.Send(Put("Content-Length: 60000000\r\n\r\n"));
  std::size_t sent = 0;
  while (sent < 60'000'000 && socket.Send(std::string(65'536, 'x'))) sent += 65'536;
  CHECK(sent < 20'000'000);
  CHECK(core::Now() - before < 3'000'000);
  stage.Play("box a expect nothing 50");
}

TEST_CASE("an id that is open is turned away and reaches no target; then it is free") {
  ScenarioRunner stage(Protocol::kHttp);
  const std::string request = Put("Content-Length: 0\r\n\r\n");
  Socket first = Socket::Connect(stage.http_port());
  first.Send(request);
  stage.Play("box a expect write");
  CHECK(Told(stage, request) == "409");
  stage.Play("box a expect nothing 50\n box a send ok");
  Message answer;
  REQUIRE(ReadMessage(first, &answer, 1'000));
  CHECK(answer.start == "HTTP/1.1 200 OK");
  first.Send(request);
  stage.Play("box a expect write\n box a send ok");
  REQUIRE(ReadMessage(first, &answer, 1'000));
  CHECK(answer.start == "HTTP/1.1 200 OK");
}

TEST_CASE("a client that is turned away over and over is answered each time, but not at any rate") {
  ScenarioRunner stage(Protocol::kHttp);
  Socket socket = Socket::Connect(stage.http_port());
  const Time before = core::Now();
  Message answer;
  for (int i = 0; i < 5; ++i) {
    socket.Send("GET /nothing HTTP/1.1\r\nHost: s\r\n\r\n");
    REQUIRE(ReadMessage(socket, &answer, 1'000));
    CHECK(answer.start.substr(9, 3) == "400");
  }
  CHECK(core::Now() - before > 150'000);
  for (int i = 0; i < 100; ++i) socket.Send("GET /nothing HTTP/1.1\r\nHost: s\r\n\r\n");
  while (ReadMessage(socket, &answer, 1'000)) {
  }
  CHECK(socket.fd() < 0);  // a hundred at once: one is answered, and that is all
}

TEST_CASE("silent connections by the hundred leave room for a usual client, at once") {
  auto config = BasicConfig();
  config["limits"]["sockets"] = 100;
  ScenarioRunner stage(Protocol::kHttp, config);
  stage.Play("client c send read\n box a expect read\n box a send ok\n client c expect served");
  std::vector<Socket> silent;
  for (int i = 0; i < 200; ++i) silent.push_back(Socket::Connect(stage.http_port()));
  const Time before = core::Now();
  stage.Play(R"(
    client c send read
    box a expect read
    box a send ok
    client c expect served
    client d send read
    box a expect read
    box a send ok
    client d expect served)");
  CHECK(core::Now() - before < 1'000'000);
  stage.Halt();
  CHECK(stage.initiator().front().connections() <= 36);
}

TEST_CASE("a loop that stalls ends no connection whose request has come but was not read yet") {
  std::unique_ptr<event_base, loop::Deleter<event_base_free>> base(event_base_new());
  http::Config config;
  config.listen = loop::ParseAddress("127.0.0.1:0");
  config.sockets = 4;  // room for one client
  core::RequestNumbers serials;
  http::FrontEnd front(base.get(), config, &serials, [](core::Input) {});
  front.on_accept = [](bufferevent*) { std::this_thread::sleep_for(std::chrono::milliseconds(60)); };
  Socket first = Socket::Connect(front.port());
  first.Send("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n");
  event_base_loop(base.get(), EVLOOP_NONBLOCK);
  event_base_loop(base.get(), EVLOOP_NONBLOCK);
  Message answer;
  REQUIRE(ReadMessage(first, &answer, 1'000));
  CHECK(answer.start.substr(9, 3) == "503");
}

TEST_CASE("a connection that has asked once ends when it stays idle; one that asks on is kept") {
  ScenarioRunner stage(Protocol::kHttp);
  Socket once = Socket::Connect(stage.http_port()), again = Socket::Connect(stage.http_port());
  const std::string ask = "GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n";
  Message answer;
  again.Send(ask);
  REQUIRE(ReadMessage(again, &answer, 1'000));
  for (Socket* socket : {&once, &again}) {
    socket->Send(ask);
    REQUIRE(ReadMessage(*socket, &answer, 1'000));
  }
  const Time before = core::Now();
  CHECK_FALSE(once.Fill(3'000));
  CHECK(once.fd() < 0);
  CHECK(core::Now() - before > 1'900'000);  // not before the protocol allows it
  CHECK_FALSE(again.Readable(300));
}

TEST_CASE("clients that ask once and stay leave room for others, and go before one that asks again") {
  auto config = BasicConfig();
  config["limits"]["sockets"] = 100;
  ScenarioRunner stage(Protocol::kHttp, config);
  stage.Play(R"(
    client c send read
    box a expect read
    box a send ok
    client c expect served
    client c send read
    box a expect read
    box a send ok
    client c expect served)");
  const Time before = core::Now();
  std::vector<Socket> stay;
  Message answer;
  for (int i = 0; i < 100; ++i) {
    stay.push_back(Socket::Connect(stage.http_port()));
    stay.back().Send("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n");
    REQUIRE(ReadMessage(stay.back(), &answer, 2'000));
  }
  CHECK(core::Now() - before < 2'000'000);
  stage.Play(R"(
    client c expect nothing 1
    client c send read
    box a expect read
    box a send ok
    client c expect served)");
}

// calm+mass: the busiest initiator left the last of its clients' connections in the backlog, unanswered.
TEST_CASE("as many connections as clients may hold are read, while each of the others waits for its answer") {
  auto config = BasicConfig();
  config["limits"]["sockets"] = 100;
  for (auto& cls : config["settings"]["classes"]) cls["aim"] = cls["deadline"] = 9'000'000;
  ScenarioRunner stage(Protocol::kHttp, config);
  std::vector<Socket> busy;
  for (int i = 0; i < 32; ++i) {  // the box never answers
    busy.push_back(Socket::Connect(stage.http_port()));
    busy.back().Send(
        "GET " + kPath + " HTTP/1.1\r\nHost: s\r\nX-Class: read\r\nX-Plan: basic\r\nX-Deadline: 9\r\n" +
        "X-IO: units=1,shard=0,hosts=1\r\nX-Request-Id: " + std::to_string(1000000000000000 + i) +
        "\r\n\r\n");
  }
  CHECK(Told(stage, "GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n", 4'000) == "200");
}

TEST_CASE("a usual client that waits for 100 Continue gets it") {
  ScenarioRunner stage(Protocol::kHttp);
  Socket socket = Socket::Connect(stage.http_port());
  socket.Send(Put("Expect: 100-continue\r\nContent-Length: 4\r\n\r\n"));
  Message answer;
  REQUIRE(ReadMessage(socket, &answer, 1'000));
  CHECK(answer.start == "HTTP/1.1 100 Continue");
  socket.Send("data");
  stage.Play("box a expect write\n box a send ok");
  REQUIRE(ReadMessage(socket, &answer, 1'000));
  CHECK(answer.start == "HTTP/1.1 200 OK");
}

}  // namespace
}  // namespace walnutspur::test
