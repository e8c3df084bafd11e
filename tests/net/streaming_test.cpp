// Tests bodies that are larger than what is read completely: streamed responses, and requests within a
// budget.
#include <doctest/doctest.h>
#include <poll.h>

#include <string>
#include <thread>

#include "core/clock.h"
#include "http_message.h"
#include "loopback_socket.h"
#include "scenario_config.h"
#include "scenario_runner.h"

namespace walnutspur::test {
namespace {

using core::Protocol;

constexpr int kTimeoutMs = 2'000;
constexpr std::size_t kLargeBody = 300'000;

const std::string kFields =
    "Host: s\r\nX-Request-Id: 9b1f03aa5c7e2d41\r\nX-Plan: basic\r\nX-Deadline: 1.2\r\nX-IO: "
    "units=1,shard=0,hosts=1\r\n";
const std::string kRead = "GET " + kObjectPath + " HTTP/1.1\r\n" + kFields + "X-Class: read\r\n\r\n";

// Returns the head of a write whose body has this framing.
std::string WriteHead(const std::string& framing) {
  return "PUT " + kObjectPath + " HTTP/1.1\r\n" + kFields + "X-Class: write\r\n" + framing + "\r\n\r\n";
}

// Returns the step by which target a sends bytes.
std::string SendStep(const std::string& bytes) { return "target a send bytes \"" + bytes + "\"\n"; }

// Receives until the received bytes contain `text`. Returns whether that was the case in time.
bool ReceiveUntil(Socket& socket, const std::string& text) {
  while (socket.received.find(text) == std::string::npos) {
    if (!socket.Fill(kTimeoutMs)) {
      return false;
    }
  }
  return true;
}

// Receives until the end of the stream.
void ReceiveAll(Socket& socket) {
  while (socket.Fill(kTimeoutMs)) {
  }
}

std::string BodyOf(const Socket& socket) {
  const std::size_t end = socket.received.find("\r\n\r\n");
  return end == std::string::npos ? "" : socket.received.substr(end + 4);
}

TEST_CASE(
    "streaming: the first part of a large response reaches the client before the target sends the rest") {
  ScenarioRunner runner(Protocol::kHttp);
  Socket client = Socket::Connect(runner.http_port());
  REQUIRE(client.Send(kRead));
  runner.Play("target a expect read\n" + SendStep("HTTP/1.1 200 OK\\r\\nContent-Length: " +
                                                  std::to_string(kLargeBody) + "\\r\\n\\r\\nfirst"));
  REQUIRE(ReceiveUntil(client, "first"));
  CHECK(client.received.find("Content-Length: 300000\r\n") != std::string::npos);
  runner.Play(SendStep(std::string(kLargeBody - 9, 'x') + "last"));
  REQUIRE(ReceiveUntil(client, "last"));
  CHECK(BodyOf(client) == "first" + std::string(kLargeBody - 9, 'x') + "last");
  // Both connections carry the next request.
  client.received.clear();
  REQUIRE(client.Send(kRead));
  runner.Play("target a expect read\n target a send ok");
  REQUIRE(ReceiveUntil(client, "stored"));
  CHECK(runner.target_connections("a") == 1);
}

TEST_CASE(
    "streaming: a response without a length that goes on is streamed in chunks and ends with the target's") {
  ScenarioRunner runner(Protocol::kHttp);
  Socket client = Socket::Connect(runner.http_port());
  REQUIRE(client.Send(kRead));
  runner.Play("target a expect read\n" +
              SendStep("HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n5\\r\\nfirst\\r\\n"));
  REQUIRE(ReceiveUntil(client, "\r\n5\r\nfirst\r\n"));
  CHECK(client.received.find("Transfer-Encoding: chunked\r\n") != std::string::npos);
  runner.Play(SendStep("4;x=y\\r\\nlast\\r\\n0\\r\\nTrailer: z\\r\\n\\r\\n"));
  REQUIRE(ReceiveUntil(client, "0\r\n\r\n"));
  CHECK(BodyOf(client) == "5\r\nfirst\r\n4\r\nlast\r\n0\r\n\r\n");
}

TEST_CASE("streaming: a body that ends with the target's connection ends with the client's for HTTP/1.0") {
  ScenarioRunner runner(Protocol::kHttp);
  Socket client = Socket::Connect(runner.http_port());
  REQUIRE(client.Send("GET " + kObjectPath + " HTTP/1.0\r\n" + kFields + "X-Class: read\r\n\r\n"));
  runner.Play("target a expect read\n" + SendStep("HTTP/1.1 200 OK\\r\\n\\r\\nfirst"));
  REQUIRE(ReceiveUntil(client, "first"));
  runner.Play(SendStep("last") + "target a close");
  ReceiveAll(client);
  CHECK(BodyOf(client) == "firstlast");
}

TEST_CASE("streaming: a connection whose body was written before its end was known stays usable for longer") {
  ScenarioRunner runner(Protocol::kHttp);
  Socket client = Socket::Connect(runner.http_port());
  REQUIRE(client.Send(kRead));
  runner.Play("target a expect read\n" +
              SendStep("HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n5\\r\\nfirst\\r\\n"));
  REQUIRE(ReceiveUntil(client, "first"));
  runner.Play(SendStep("0\\r\\n\\r\\n"));
  REQUIRE(ReceiveUntil(client, "0\r\n\r\n"));
  client.received.clear();
  REQUIRE(client.Send(kRead));
  runner.Play("target a expect read\n target a send ok");
  REQUIRE(ReceiveUntil(client, "stored"));
  // The end of a body without framing follows the target's end at once.
  Socket old = Socket::Connect(runner.http_port());
  REQUIRE(old.Send("GET " + kObjectPath + " HTTP/1.0\r\n" + kFields + "X-Class: read\r\n\r\n"));
  runner.Play("target a expect read\n" + SendStep("HTTP/1.1 200 OK\\r\\n\\r\\nfirst"));
  REQUIRE(ReceiveUntil(old, "first"));
  const Time before = core::Now();
  runner.Play("target a close");
  ReceiveAll(old);
  CHECK(core::Now() - before < 300'000);
}

TEST_CASE("streaming: a response that breaks in the middle is cut off at the client and not retried") {
  for (const char* close : {"target a close", "target a close reset"}) {
    CAPTURE(close);
    ScenarioRunner runner(Protocol::kHttp);
    Socket client = Socket::Connect(runner.http_port());
    REQUIRE(client.Send(kRead));
    runner.Play("target a expect read\n" +
                SendStep("HTTP/1.1 200 OK\\r\\nContent-Length: 300000\\r\\n\\r\\nfirst"));
    REQUIRE(ReceiveUntil(client, "first"));
    runner.Play(close);
    ReceiveAll(client);
    CHECK(BodyOf(client).size() < kLargeBody);
    runner.Play("target a expect nothing 60");
  }
}

TEST_CASE("streaming: when the client disconnects, the target's connection is closed") {
  ScenarioRunner runner(Protocol::kHttp);
  Socket client = Socket::Connect(runner.http_port());
  REQUIRE(client.Send(kRead));
  runner.Play("target a expect read\n" +
              SendStep("HTTP/1.1 200 OK\\r\\nContent-Length: 300000\\r\\n\\r\\nfirst"));
  REQUIRE(ReceiveUntil(client, "first"));
  client.Close();
  runner.Play("target a expect closed");
}

TEST_CASE("streaming: a client that reads slowly gets the complete body") {
  ScenarioRunner runner(Protocol::kHttp);
  Socket client = Socket::Connect(runner.http_port());
  REQUIRE(client.Send(kRead));
  constexpr std::size_t kBody = 3'000'000;
  runner.Play("target a expect read\n" +
              SendStep("HTTP/1.1 200 OK\\r\\nContent-Length: " + std::to_string(kBody) + "\\r\\n\\r\\n"));
  std::thread target([&runner] { runner.Play(SendStep(std::string(kBody - 4, 'x') + "last")); });
  poll(nullptr, 0, 300);
  CHECK(ReceiveUntil(client, "last"));
  target.join();
  CHECK(BodyOf(client).size() == kBody);
}

TEST_CASE("large requests: a body in slow pieces is forwarded byte for byte") {
  ScenarioRunner runner(Protocol::kHttp);
  std::string body(kLargeBody, 'x');
  body.replace(100'000, 4, "\r\n\r\n");
  SUBCASE("with a length") {
    Socket client = Socket::Connect(runner.http_port());
    REQUIRE(client.Send(WriteHead("Content-Length: " + std::to_string(body.size()))));
    for (std::size_t at = 0; at < body.size(); at += 50'000) {
      REQUIRE(client.Send(body.substr(at, 50'000)));
      poll(nullptr, 0, 10);
    }
    runner.Play("target a expect write\n target a send ok");
    CHECK(ReceiveUntil(client, "stored"));
  }
  SUBCASE("in chunks") {
    Socket client = Socket::Connect(runner.http_port());
    REQUIRE(client.Send(WriteHead("Transfer-Encoding: chunked") + "493e0\r\n" + body + "\r\n0\r\n\r\n"));
    runner.Play("target a expect write\n target a send ok");
    CHECK(ReceiveUntil(client, "stored"));
  }
  CHECK(runner.target_http_request("a").body == body);
}

TEST_CASE("large requests: a body beyond the memory for bodies is rejected, and the next one is served") {
  nlohmann::json config = BasicConfig();
  config["limits"]["memory_mb"] = 8;  // of which a quarter is for request bodies
  ScenarioRunner runner(Protocol::kHttp, config);
  Socket first = Socket::Connect(runner.http_port());
  REQUIRE(first.Send(WriteHead("Content-Length: 1500000") + "x"));
  Socket second = Socket::Connect(runner.http_port());
  poll(nullptr, 0, 30);
  REQUIRE(second.Send(WriteHead("Content-Length: 1500000") + "x"));
  CHECK(ReceiveUntil(second, "HTTP/1.1 503"));
  first.Close();
  poll(nullptr, 0, 30);
  Socket third = Socket::Connect(runner.http_port());
  REQUIRE(third.Send(WriteHead("Content-Length: 1500000") + std::string(1'500'000, 'x')));
  runner.Play("target a expect write\n target a send ok");
  CHECK(ReceiveUntil(third, "stored"));
}

TEST_CASE("large requests: a body that does not go on is rejected") {
  ScenarioRunner runner(Protocol::kHttp);
  Socket client = Socket::Connect(runner.http_port());
  const Time before = core::Now();
  REQUIRE(client.Send(WriteHead("Content-Length: 300000") + "x"));
  CHECK(client.Readable(4'000));
  CHECK(ReceiveUntil(client, "HTTP/1.1 408"));
  CHECK(core::Now() - before < 3'500'000);
}

}  // namespace
}  // namespace walnutspur::test
