// The end of the program while clients send on every connection that stays open.
#include <doctest/doctest.h>
#include <sys/socket.h>

#include <csignal>
#include <list>
#include <thread>

#include "core/scheduler_thread.h"
#include "limits/shutdown_deadline_estimate.h"
#include "scenario_runner.h"

namespace walnutspur::test {
namespace {

constexpr Time kServes = 20'000;      // us that the box takes for a request
constexpr Time kSendsEvery = 10'000;  // us between an answer and the client's next request
constexpr int kPatience = 4'000;      // ms

// Serves whatever comes, each connection by itself, until its listener is shut.
void Serve(const Socket& listener) {
  std::list<std::jthread> links;
  while (true) {
    const int fd = accept(listener.fd(), nullptr, nullptr);
    if (fd < 0) return;
    links.emplace_back([link = Socket(fd)]() mutable {
      Message request;
      while (ReadMessage(link, &request, kPatience)) {
        std::this_thread::sleep_for(std::chrono::microseconds(kServes));
        link.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      }
    });
  }
}

struct Tally {
  int served = 0, refused = 0, failed = 0;
  int told = 0;     // connections whose last answer said so
  int crossed = 0;  // ended in order with a request on its way: the client sends it again elsewhere
  int reset = 0;    // ended otherwise with a request out
};

// Asks on one connection over and over, for as long as it stays open.
Tally Ask(int port, int number) {
  Tally tally;
  Socket socket = Socket::Connect(port);
  std::string bytes;
  for (int i = 0;; ++i) {
    char id[17];
    std::snprintf(id, sizeof id, "%08x%08x", number, i);
    const std::string request =
        std::string("GET /api/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: s\r\nX-Request-Id: ") + id +
        "\r\nX-Class: read\r\nX-Plan: basic\r\nX-Deadline: 1.2\r\nX-IO: units=1,shard=0,hosts=1\r\n\r\n";
    bool sent = socket.Send(request);
    ssize_t size = 1;
    while (sent && bytes.find("\r\n\r\n") == std::string::npos) {
      char chunk[4096];
      size = recv(socket.fd(), chunk, sizeof chunk, 0);
      if (size <= 0) break;
      bytes.append(chunk, static_cast<std::size_t>(size));
    }
    if (!sent || size < 0) return ++tally.reset, tally;
    if (size == 0) return ++tally.crossed, tally;
    const std::string code = bytes.substr(9, 3);
    ++(code == "200" ? tally.served : code == "503" ? tally.refused : tally.failed);
    if (bytes.find("Connection: close") != std::string::npos) {
      ++tally.told;
      while (size > 0) {  // it is over: nothing but the end may follow
        char rest[4096];
        size = recv(socket.fd(), rest, sizeof rest, 0);
      }
      tally.reset += size < 0;
      return tally;
    }
    bytes.clear();
    std::this_thread::sleep_for(std::chrono::microseconds(kSendsEvery));
  }
}

}  // namespace

TEST_CASE("connections are told of the end early enough for answers as slow as the last ones") {
  limits::ShutdownDeadlineEstimate quick, slow;
  for (int i = 0; i < 100; ++i) quick.OnResponse(20'000), slow.OnResponse(i % 4 ? 300'000 : 600'000);
  CHECK(quick.IsLastResponse(200'000));
  CHECK_FALSE(quick.IsLastResponse(250'000));
  CHECK(slow.IsLastResponse(500'000));
  CHECK_FALSE(slow.IsLastResponse(800'000));
  for (int i = 0; i < 100; ++i) slow.OnResponse(60'000'000);
  CHECK_FALSE(slow.IsLastResponse(1'100'000));  // however slow, the end is not the whole time
  CHECK_FALSE(limits::ShutdownDeadlineEstimate().IsLastResponse(250'000));
}

TEST_CASE("after SIGTERM 50 clients that send on are answered on each connection up to its end, none lost") {
  ScenarioRunner stage(core::Protocol::kHttp);
  std::jthread box([&stage] { Serve(stage.box_listener("a")); });
  std::vector<Tally> tallies(50);
  {
    std::vector<std::jthread> clients;
    for (std::size_t i = 0; i < tallies.size(); ++i)
      clients.emplace_back([&, i] { tallies[i] = Ask(stage.http_port(), static_cast<int>(i)); });
    stage.Play("wait 300\n signal TERM");
  }
  CHECK(stage.Ended(2'000));
  shutdown(stage.box_listener("a").fd(), SHUT_RDWR);
  Tally all;
  for (const Tally& t : tallies) {
    all.served += t.served, all.refused += t.refused, all.failed += t.failed;
    all.told += t.told, all.crossed += t.crossed, all.reset += t.reset;
  }
  MESSAGE("served ", all.served, ", refused ", all.refused, ", failed ", all.failed, ", told ", all.told,
          ", crossed ", all.crossed, ", reset ", all.reset);
  CHECK(all.reset == 0);
  CHECK(all.failed <= 2);  // a straggler; all of the last ones were timed out at once
  CHECK(all.told + all.crossed == 50);
  CHECK(all.crossed <= 5);
}

TEST_CASE("half a request at the end is shut in order while the program still reads, and never reset") {
  ScenarioRunner stage(core::Protocol::kHttp);
  Socket half = Socket::Connect(stage.http_port());
  half.Send("GET /api/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nX-Request-Id: 9b1f");
  stage.Play("signal TERM\n signal TERM\n signal HUP");
  REQUIRE(half.Readable(kPatience));
  char byte;
  CHECK(recv(half.fd(), &byte, 1, 0) == 0);
  CHECK(half.Send("03aa5c7e2d41\r\n"));  // it crosses the end, and is read
  CHECK(stage.Ended(1'000));
}

TEST_CASE("after SIGTERM what NBD clients send near the end is refused unrun, then the connection ends") {
  ScenarioRunner stage(core::Protocol::kNbd);
  stage.Play(R"(
    client c send read
    box a expect read
    box a send ok
    client c expect served
    client d send read
    box a expect read
    box a send ok
    client d expect served
    signal TERM
    wait 1500
    client c send read
    box a expect read
    wait 150
    client c send write
    client c expect refused
    box a send ok
    client c expect served
    client c expect closed
    client d expect closed)");
  CHECK(stage.Ended(1'000));
}

}  // namespace walnutspur::test
