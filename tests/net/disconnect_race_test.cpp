// Clients that disconnect or send too much while their request is in progress (docs/design/races.md).
//
// A client's FIN may wait in the kernel unread, or behind bytes that the program does not read yet. The
// program then takes the client for connected and starts an attempt whose response no client receives; where
// clients disconnect often, such attempts take a part of the targets' capacity. The tests queue a request,
// end its client's connection in each way, then let a target appear, and check that only the request of a
// connected client reaches it.
#include <doctest/doctest.h>

#include "loop/peer.h"
#include "scenario_runner.h"

namespace walnutspur::test {
namespace {

using core::Protocol;

TEST_CASE("a disconnect is detected although the loop has read nothing") {
  int port = 0;
  Socket listener = Socket::Listen(&port);
  Socket client = Socket::Connect(port);
  Socket server = listener.Accept();
  CHECK_FALSE(loop::PeerHasClosed(server.fd()));
  client.Send("rubbish behind a request");
  REQUIRE(server.Readable(1'000));
  CHECK_FALSE(loop::PeerHasClosed(server.fd()));
  bool reset = false;
  SUBCASE("by a FIN, behind unread bytes") {}
  SUBCASE("by a reset") { reset = true; }
  client.Close(reset);
  while (!loop::PeerHasClosed(server.fd())) {
  }
}

// The step that sends a read of shard 2, which no target holds at first. The digit ends the request id.
std::string SendRead(const std::string& client, char digit) {
  return "client " + client + " send bytes \"GET /api/00000003b4d60021/000000000000000" + digit +
         " HTTP/1.1\\r\\nX-Request-Id: 000000000000000" + digit +
         "\\r\\nX-Class: read\\r\\nX-Plan: basic\\r\\nX-Deadline: 1.2\\r\\nX-IO: "
         "units=1,shard=2,hosts=1\\r\\n\\r\\n\"\n";
}

TEST_CASE("a queued request of a client that disconnected is not sent, whatever followed it") {
  std::string behind;
  bool reset = false;
  SUBCASE("a FIN") {}
  SUBCASE("a reset") { reset = true; }
  SUBCASE("a FIN behind more than the read-ahead") { behind.assign(40'000, 'x'); }
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

// Requests of another client to another target, one after the other. The loop reads 4 KiB of a connection at
// a time; while it serves each of them it reads at least once from every connection that has bytes in the
// kernel.
std::string ServeOtherRequests(int count) {
  std::string steps;
  for (int i = 0; i < count; ++i) {
    steps += "client b send read\n target b expect read\n target b send ok\n client b expect served\n";
  }
  return steps;
}

// A client sends far more behind its request than the front end reads ahead (16 KiB). If the front end kept
// it, such clients would use up its memory; if it took the bytes for a request, it would serve what was none.
// It drops them and ends the connection with the response. Were the response sent before the read-ahead is
// full, the bytes would be the next request, and rejected as malformed: so other requests are served in
// between.
TEST_CASE("a client that sends too much after its request gets its response, and the surplus is not served") {
  ScenarioRunner runner(Protocol::kHttp);
  runner.Play("client c send read\n target a expect read\n client c send bytes \"" +
              std::string(100'000, 'x') + "\"\n" + ServeOtherRequests(4) + R"(
    target a send ok
    client c expect served
    client c expect closed)");
  runner.Play("client d send read\n target a expect read\n client d send bytes \"" +
              std::string(60'000, 'x') + "\"");
}

TEST_CASE("the key of a keyed request is forwarded unchanged with each attempt") {
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
