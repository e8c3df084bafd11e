// Tests clients that disconnect or send too much while their request is in progress (docs/design/races.md).
//
// A client's FIN may be unread in the kernel, or follow bytes that the program has not read yet. If the
// program then considers the client connected, it starts an attempt whose response no client receives; with
// frequent disconnects, such attempts use a share of the targets' capacity. The tests queue a request, close
// its client's connection in various ways, then add a target, and check that only the request of a connected
// client reaches it.
#include <doctest/doctest.h>

#include "loop/peer.h"
#include "scenario_runner.h"

namespace walnutspur::test {
namespace {

using core::Protocol;

TEST_CASE("PeerHasClosed: a disconnect is detected before the loop has read any input") {
  int port = 0;
  Socket listener = Socket::Listen(&port);
  Socket client = Socket::Connect(port);
  Socket server = listener.Accept();
  CHECK_FALSE(loop::PeerHasClosed(server.fd()));
  client.Send("rubbish behind a request");
  REQUIRE(server.Readable(1'000));
  CHECK_FALSE(loop::PeerHasClosed(server.fd()));
  bool reset = false;
  SUBCASE("a FIN after unread bytes") {}
  SUBCASE("a reset") { reset = true; }
  client.Close(reset);
  while (!loop::PeerHasClosed(server.fd())) {
  }
}

// Returns the step that sends a read of shard 2, which initially has no target. `digit` is the last digit of
// the request id.
std::string SendRead(const std::string& client, char digit) {
  return "client " + client + " send bytes \"GET /api/00000003b4d60021/000000000000000" + digit +
         " HTTP/1.1\\r\\nX-Request-Id: 000000000000000" + digit +
         "\\r\\nX-Class: read\\r\\nX-Plan: basic\\r\\nX-Deadline: 1.2\\r\\nX-IO: "
         "units=1,shard=2,hosts=1\\r\\n\\r\\n\"\n";
}

TEST_CASE("HTTP front end: a queued request is not sent after its client has disconnected") {
  std::string behind;
  bool reset = false;
  SUBCASE("by a FIN") {}
  SUBCASE("by a reset") { reset = true; }
  SUBCASE("by a FIN after more input than the read-ahead limit") { behind.assign(40'000, 'x'); }
  int port = 0;
  const Socket target = Socket::Listen(&port);
  Socket connection;  // outlives the runner
  ScenarioRunner runner(Protocol::kHttp);
  runner.Play(SendRead("c", '1') + "client c expect nothing 20");
  if (!behind.empty()) {
    runner.Play("client c send bytes \"" + behind + "\"");
  }
  runner.Play(reset ? "client c close reset" : "client c close");
  runner.WriteDiscovery(
      R"({"revision":99,"complete":false,"members":[{"id":"h","phase":"SERVING","cell":2,"host_port":"127.0.0.1:)" +
          std::to_string(port) + "\"}]}\n",
      1'000);
  runner.Play(SendRead("d", '2'));
  REQUIRE(target.Readable(1'000));
  connection = target.Accept();
  HttpMessage request;
  REQUIRE(ReadHttpMessage(connection, &request, 1'000));
  CHECK(request.Header("X-Request-Id") == "0000000000000002");
  CHECK_FALSE(target.Readable(0));
}

// Returns steps in which another client sends `count` requests to another target, one at a time. The loop
// reads 4 KiB of a connection at a time. While it serves each of these requests, it reads at least once from
// every connection that has bytes in the kernel.
std::string ServeOtherRequests(int count) {
  std::string steps;
  for (int i = 0; i < count; ++i) {
    steps += "client b send read\n target b expect read\n target b send ok\n client b expect served\n";
  }
  return steps;
}

// A client sends far more after its request than the front end reads ahead (16 KiB). If the front end kept
// the bytes, such clients would exhaust its memory; if it parsed them as a request, it would serve invalid
// input. It must discard them and close the connection after the response. If the response were sent before
// the read-ahead is full, the bytes would be parsed as the next request and rejected as malformed; the test
// therefore serves other requests first.
TEST_CASE("HTTP front end: a client that sends too much after its request gets its response, and no other") {
  ScenarioRunner runner(Protocol::kHttp);
  runner.Play("client c send read\n target a expect read\n client c send bytes \"" +
              std::string(100'000, 'x') + "\"\n" + ServeOtherRequests(4) + R"(
    target a send ok
    client c expect served
    client c expect closed)");
  runner.Play("client d send read\n target a expect read\n client d send bytes \"" +
              std::string(60'000, 'x') + "\"");
}

TEST_CASE("HTTP front end: the key of a keyed request is forwarded unchanged with each attempt") {
  auto config = BasicConfig();
  config["settings"]["classes"][1]["effect"] = "keyed";
  config["settings"]["classes"][1]["group"] = "cell";
  config["settings"]["classes"][1]["memorySpan"] = 5'000'000;
  ScenarioRunner runner(Protocol::kHttp, config);
  const auto put = [](const std::string& keys) {
    return "client c send bytes \"PUT " + kObjectPath +
           " HTTP/1.1\\r\\nX-Request-Id: "
           "9b1f03aa5c7e2d41\\r\\nX-Class: write\\r\\nX-Plan: basic\\r\\nX-Deadline: 1.2\\r\\nX-IO: "
           "units=1,shard=0,hosts=1\\r\\n" +
           keys + "Content-Length: 0\\r\\n\\r\\n\"\n";
  };
  runner.Play(put("idempotency-KEY: \\\"8e03978e-40d5\\\"; v\\r\\n") + "target a expect write");
  CHECK(runner.target_http_request("a").Header("Idempotency-Key") == "\"8e03978e-40d5\"; v");
  runner.Play("target a send error\n target a expect write");
  CHECK(runner.target_http_request("a").Header("Idempotency-Key") == "\"8e03978e-40d5\"; v");
  runner.Play("target a send ok\n client c expect served");
  runner.Play(put("Idempotency-Key: a\\r\\nIdempotency-Key: b\\r\\n") + "client c expect status 400");
}

}  // namespace
}  // namespace walnutspur::test
