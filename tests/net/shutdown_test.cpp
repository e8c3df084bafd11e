// Tests graceful shutdown while clients keep sending requests on every open connection.
//
// The platform sends SIGTERM, and SIGKILL 0.7 s after the longest deadline. If the close of a connection is
// announced too late, the last requests time out (300 requests of 50 clients in one run). If all connections
// are closed at once, many have a request in flight, and a connection that is closed with unread bytes is
// reset. The tests send SIGTERM to a program under load and count how each request and connection ended:
// served, rejected, failed, closed with a FIN, or reset.
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <list>
#include <thread>

#include "core/scheduler_thread.h"
#include "limits/shutdown_deadline_estimate.h"
#include "scenario_runner.h"

namespace walnutspur::test {
namespace {

using core::Protocol;

constexpr Time kServiceTime = 20'000;  // service time of the target, in microseconds
constexpr Time kThinkTime = 10'000;    // between a response and the client's next request, in microseconds
constexpr int kTimeoutMs = 4'000;

// Serves all requests with one thread per connection until the listener is shut down.
void Serve(const Socket& listener) {
  std::list<std::jthread> connections;
  while (true) {
    const int fd = accept(listener.fd(), nullptr, nullptr);
    if (fd < 0) {
      return;
    }
    connections.emplace_back([connection = Socket(fd)]() mutable {
      HttpMessage request;
      while (ReadHttpMessage(connection, &request, kTimeoutMs)) {
        std::this_thread::sleep_for(std::chrono::microseconds(kServiceTime));
        connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      }
    });
  }
}

// Counts how the requests and connections of clients ended.
struct OutcomeCounts {
  int served = 0;
  int rejected = 0;
  int failed = 0;
  int announced = 0;         // connections whose last response announced the close
  int closed_in_flight = 0;  // closed with a FIN and a request in flight, which the client retries elsewhere
  int reset = 0;             // reset, or closed otherwise, with a request in flight

  void Add(const OutcomeCounts& other) {
    served += other.served;
    rejected += other.rejected;
    failed += other.failed;
    announced += other.announced;
    closed_in_flight += other.closed_in_flight;
    reset += other.reset;
  }
  void CountStatus(const std::string& status) {
    if (status == "200") {
      ++served;
    } else if (status == "503") {
      ++rejected;
    } else {
      ++failed;
    }
  }
};

// Returns a read whose id is unique for the client and sequence number.
std::string ReadRequest(int client, int sequence) {
  std::array<char, 17> id;
  std::snprintf(id.data(), id.size(), "%08x%08x", client, sequence);
  return "GET " + kObjectPath + " HTTP/1.1\r\nHost: s\r\nX-Request-Id: " + id.data() +
         "\r\nX-Class: read\r\nX-Plan: basic\r\nX-Deadline: 1.2\r\nX-IO: units=1,shard=0,hosts=1\r\n\r\n";
}

// Appends received bytes to `text` until `complete(text)` is true. Returns the result of the last recv: 0 at
// the end of the stream, negative after a reset.
template <typename Complete>
ssize_t ReceiveUntil(Complete complete, const Socket& socket, std::string* text) {
  ssize_t size = 1;
  while (size > 0 && !complete(*text)) {
    std::array<char, 4096> chunk;
    size = recv(socket.fd(), chunk.data(), chunk.size(), 0);
    if (size > 0) {
      text->append(chunk.data(), static_cast<std::size_t>(size));
    }
  }
  return size;
}

// Sends requests one at a time on one connection until it is closed.
OutcomeCounts SendUntilClosed(int port, int client) {
  const auto has_headers = [](const std::string& text) { return text.find("\r\n\r\n") != std::string::npos; };
  const auto never = [](const std::string&) { return false; };
  OutcomeCounts counts;
  Socket socket = Socket::Connect(port);
  for (int sequence = 0;; ++sequence) {
    std::string response;
    const bool sent = socket.Send(ReadRequest(client, sequence));
    const ssize_t size = sent ? ReceiveUntil(has_headers, socket, &response) : -1;
    if (size <= 0) {
      ++(size < 0 ? counts.reset : counts.closed_in_flight);
      return counts;
    }
    counts.CountStatus(response.substr(9, 3));
    if (response.find("Connection: close") != std::string::npos) {
      ++counts.announced;
      counts.reset += ReceiveUntil(never, socket, &response) < 0;  // only the end of the stream may follow
      return counts;
    }
    std::this_thread::sleep_for(std::chrono::microseconds(kThinkTime));
  }
}

TEST_CASE(
    "ShutdownDeadlineEstimate: the close is announced early enough for responses as slow as recent ones") {
  limits::ShutdownDeadlineEstimate quick;
  limits::ShutdownDeadlineEstimate slow;
  for (int i = 0; i < 100; ++i) {
    quick.OnResponse(20'000);
    slow.OnResponse(i % 4 ? 300'000 : 600'000);
  }
  CHECK(quick.IsLastResponse(200'000));
  CHECK_FALSE(quick.IsLastResponse(250'000));
  CHECK(slow.IsLastResponse(500'000));
  CHECK_FALSE(slow.IsLastResponse(800'000));
  for (int i = 0; i < 100; ++i) {
    slow.OnResponse(60'000'000);
  }
  CHECK_FALSE(slow.IsLastResponse(1'100'000));  // the estimate is capped
  CHECK_FALSE(limits::ShutdownDeadlineEstimate().IsLastResponse(250'000));
}

TEST_CASE(
    "after SIGTERM, 50 busy clients get a response on each connection until it closes, and none is lost") {
  ScenarioRunner runner(core::Protocol::kHttp);
  std::jthread server([&runner] { Serve(runner.target_listener("a")); });
  std::vector<OutcomeCounts> client_counts(50);
  {
    std::vector<std::jthread> clients;
    for (std::size_t i = 0; i < client_counts.size(); ++i) {
      clients.emplace_back(
          [&, i] { client_counts[i] = SendUntilClosed(runner.http_port(), static_cast<int>(i)); });
    }
    runner.Play("wait 300\n signal TERM");
  }
  CHECK(runner.WaitForExit(2'000));
  shutdown(runner.target_listener("a").fd(), SHUT_RDWR);
  OutcomeCounts all;
  for (const OutcomeCounts& counts : client_counts) {
    all.Add(counts);
  }
  MESSAGE("served ", all.served, ", rejected ", all.rejected, ", failed ", all.failed, ", announced ",
          all.announced, ", closed in flight ", all.closed_in_flight, ", reset ", all.reset);
  CHECK(all.reset == 0);
  CHECK(all.failed <= 2);  // requests that are still in flight at the deadline
  CHECK(all.announced + all.closed_in_flight == 50);
  CHECK(all.closed_in_flight <= 5);
}

TEST_CASE(
    "after SIGTERM, a connection with half a request is closed with a FIN while still read, and not reset") {
  ScenarioRunner runner(core::Protocol::kHttp);
  Socket half = Socket::Connect(runner.http_port());
  half.Send("GET " + kObjectPath + " HTTP/1.1\r\nX-Request-Id: 9b1f");
  runner.Play("signal TERM\n signal TERM\n signal HUP");
  REQUIRE(half.Readable(kTimeoutMs));
  char byte;
  CHECK(recv(half.fd(), &byte, 1, 0) == 0);
  CHECK(half.Send("03aa5c7e2d41\r\n"));  // crosses the close and must be read
  CHECK(runner.WaitForExit(1'000));
}

TEST_CASE(
    "after SIGTERM, late NBD requests are rejected without running, then their connections are closed") {
  ScenarioRunner runner(core::Protocol::kNbd);
  runner.Play(R"(
    client c send read
    target a expect read
    target a send ok
    client c expect served
    client d send read
    target a expect read
    target a send ok
    client d expect served
    signal TERM
    wait 1500
    client c send read
    target a expect read
    wait 150
    client c send write
    client c expect refused
    target a send ok
    client c expect served
    client c expect closed
    client d expect closed)");
  CHECK(runner.WaitForExit(1'000));
}

TEST_CASE("after SIGTERM, new requests are accepted and served, then the program exits") {
  ScenarioRunner runner(Protocol::kHttp);
  runner.Play(R"(
    client c send read
    target a expect read
    target a send ok
    client c expect served)");
  const Time before = core::Now();
  SUBCASE("a signal starts the shutdown") { kill(getpid(), SIGTERM); }
  SUBCASE("a call to Stop starts the shutdown") { runner.initiator().Stop(); }
  runner.Play(R"(
    client bob send read
    target b expect read
    target b send ok
    client bob expect served
    wait 600
    client c send read
    target a expect read
    target a send ok
    client c expect served
    wait 200
    client bob send read
    target b expect read
    client c send write
    target a expect write
    client c expect failed
    client bob expect refused)");  // both while there is time for a response, before their deadlines
  // The platform kills the program 0.7 s after the longest deadline, which is 1.2 s here.
  CHECK(core::Now() - before < 1'800'000);
  CHECK(runner.WaitForExit(300));
}

TEST_CASE("after SIGTERM, a request that cannot complete before the exit times out before it") {
  auto config = BasicConfig();
  config["settings"]["limits"]["cancel"] = false;  // attempts run until the client's deadline
  for (const Protocol protocol : {Protocol::kHttp, Protocol::kNbd}) {
    ScenarioRunner runner(protocol, config);
    runner.Play("client c send read\n target a expect read\n target a send ok\n client c expect served");
    const Time before = core::Now();
    runner.Play(R"(
      signal TERM
      wait 900
      client c send write
      target a expect write
      client c expect failed)");
    CHECK(core::Now() - before < 1'800'000);
    CHECK(runner.WaitForExit(300));
  }
}

TEST_CASE("after SIGTERM, connections stay open until shortly before the exit, even if long idle") {
  ScenarioRunner runner(Protocol::kHttp);
  runner.Play(R"(
    client c send read
    target a expect read
    target a send ok
    client c expect served
    wait 1000
    signal TERM
    wait 1250
    client c send read
    target a expect read
    target a send ok
    client c expect served)");
  CHECK(runner.WaitForExit(1'000));
}

TEST_CASE("after SIGTERM, a program without clients exits at once") {
  ScenarioRunner runner(Protocol::kHttp);
  runner.Play("signal TERM");
  CHECK(runner.WaitForExit(1'000));
}

}  // namespace
}  // namespace walnutspur::test
