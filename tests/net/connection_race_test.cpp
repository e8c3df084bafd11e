// Tests races between a target connection and its attempts: events that coincide with the moment in which a
// connection is closed, opened or abandoned (docs/design/races.md).
//
// On the operators' bench, duplicate responses arrived 0.9 to 3.9 ms late and were taken for the response to
// the next request on their connection; about a hundred connections a day, established just after their
// attempt had timed out, were closed unused. An attempt may also reach its target although its client has
// disconnected or the key's deduplication window has ended. Each test forces one of these orders by
// withholding an event, never by timing, and checks what the target receives.
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "core/scheduler_thread.h"
#include "http/target_pool.h"
#include "pool_fixture.h"
#include "scenario_runner.h"

namespace walnutspur::test {
namespace {

using core::Protocol;

const std::string kOk = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";

// Class FullBacklog fills the accept queue of a listener, so that further connections are established late.
class FullBacklog {
 public:
  FullBacklog(const Socket& listener, int port) {
    listen(listener.fd(), 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    for (int i = 0; i < 2; ++i) {
      clients_.emplace_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      connect(clients_.back().fd(), reinterpret_cast<sockaddr*>(&address), sizeof address);
    }
  }
  // Accepts the connections that fill the queue.
  void Clear(const Socket& listener) {
    for (int i = 0; i < 2 && listener.Readable(20); ++i) {
      accepted_.push_back(listener.Accept());
    }
  }

 private:
  std::vector<Socket> clients_;
  std::vector<Socket> accepted_;
};

TEST_CASE(
    "TargetPool: a connection established after its attempt was abandoned sends only the next attempt") {
  PoolFixture fixture;
  FullBacklog backlog(fixture.listener, fixture.port);
  fixture.Start(1);
  bool cancelled = false;
  SUBCASE("the connect timeout expires") {}
  SUBCASE("the client disconnects") {
    cancelled = true;
    fixture.pool->Cancel(1, 0);
  }
  fixture.RunUntil([&] { return fixture.results.size() == 1; });
  CHECK(fixture.results[0].outcome == (cancelled ? Outcome::kCancelled : Outcome::kConnectFailed));
  CHECK(fixture.pool->connections() == 1);
  backlog.Clear(fixture.listener);
  Socket connection = fixture.Accept();  // the kernel retries within a second or two
  fixture.RunUntil([&] { return fixture.pool->idle_connections("a") == 1; });
  fixture.Start(2);
  CHECK(fixture.ReceivedOn(connection) == "GET /api/2");
  CHECK(connection.received.empty());
  CHECK(fixture.pool->connections() == 1);
  connection.Send(kOk + "mine");
  fixture.RunUntil([&] { return fixture.results.size() == 2; });
  CHECK(fixture.results[1].outcome == Outcome::kCompleted);
}

TEST_CASE(
    "TargetPool: if a target drains while an attempt connects, it is not sent; its connection is closed") {
  PoolFixture fixture;
  FullBacklog backlog(fixture.listener, fixture.port);
  fixture.Start(1);
  fixture.pool->Drain("a");
  REQUIRE(fixture.results.size() == 1);
  CHECK(fixture.results[0].outcome == Outcome::kConnectFailed);
  CHECK(fixture.pool->connections() == 0);
}

TEST_CASE("TargetPool: a keyed retry is not sent once its target may have forgotten the key") {
  PoolFixture fixture;
  fixture.Start(1, core::Now() - 1);
  REQUIRE(fixture.results.size() == 1);
  CHECK(fixture.results[0].outcome == Outcome::kNotSent);
  CHECK_FALSE(fixture.listener.Readable(0));
  fixture.Start(2, core::Now() + 20'000);  // in time, but the loop handles the established connection late
  Socket connection = fixture.listener.Accept();
  const Time expired = core::Now() + 25'000;
  while (core::Now() < expired) {
  }
  fixture.RunUntil([&] { return fixture.results.size() == 2; });
  CHECK(fixture.results[1].outcome == Outcome::kNotSent);
  CHECK_FALSE(connection.Readable(0));
  fixture.Start(3, core::Now() + 2'000'000);
  CHECK(fixture.ReceivedOn(connection) == "GET /api/3");
}

TEST_CASE("TargetPool: a duplicate response that arrives late is not taken for the next response") {
  PoolFixture fixture;
  fixture.Start(1);
  Socket connection = fixture.Accept();
  REQUIRE(fixture.ReceivedOn(connection) == "GET /api/1");
  connection.Send(kOk + "mine");
  fixture.RunUntil([&] { return fixture.results.size() == 1; });
  Socket next;
  fixture.Start(2);  // the events below occur before the loop's next iteration
  SUBCASE("a duplicate arrives first: the attempt moves to another connection") {
    connection.Send(kOk + "mine");
    next = fixture.Accept();
    CHECK(fixture.ReceivedOn(next) == "GET /api/2");
    next.Send(kOk + "next");
  }
  SUBCASE("the target closes the connection first: the attempt moves to another connection") {
    connection.Close();
    next = fixture.Accept();
    CHECK(fixture.ReceivedOn(next) == "GET /api/2");
    next.Send(kOk + "next");
  }
  SUBCASE("nothing arrives first: the attempt is sent on the open connection") {
    CHECK(fixture.ReceivedOn(connection) == "GET /api/2");
    connection.Send(kOk + "next");
  }
  fixture.RunUntil([&] { return fixture.results.size() == 2; });
  CHECK(fixture.results[1].outcome == Outcome::kCompleted);
  CHECK(static_cast<const http::Response&>(*fixture.results[1].payload).body == "next");
  CHECK(fixture.pool->connections() == 1);
}

TEST_CASE(
    "TargetPool: an attempt cancelled while its idle connection settles is not sent, but the next one is") {
  PoolFixture fixture;
  fixture.Start(1);
  Socket connection = fixture.Accept();
  REQUIRE(fixture.ReceivedOn(connection) == "GET /api/1");
  connection.Send(kOk + "mine");
  fixture.RunUntil([&] { return fixture.results.size() == 1; });
  fixture.Start(2);
  fixture.pool->Cancel(2, 0);
  fixture.Start(3);
  CHECK(fixture.ReceivedOn(connection) == "GET /api/3");
  CHECK(fixture.results[1].outcome == Outcome::kCancelled);
}

TEST_CASE("TargetPool: if a client disconnects while its attempt is connecting, the attempt is not sent") {
  PoolFixture fixture;
  bool client_connected = true;
  fixture.pool->is_client_connected = [&](core::RequestNumber) { return client_connected; };
  fixture.Start(1);
  client_connected = false;
  Socket connection = fixture.listener.Accept();
  fixture.RunUntil([&] { return fixture.results.size() == 1; });
  CHECK(fixture.results[0].outcome == Outcome::kNotSent);
  client_connected = true;
  fixture.Start(2);
  CHECK(fixture.ReceivedOn(connection) == "GET /api/2");
}

}  // namespace
}  // namespace walnutspur::test
