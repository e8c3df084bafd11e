// Tests the management calls of a running initiator: replies, cordons, and callers that misbehave.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "core/clock.h"
#include "loopback_socket.h"
#include "scenario_config.h"
#include "scenario_runner.h"

namespace walnutspur::test {
namespace {

using core::Protocol;

constexpr int kReplyMs = 1'000;  // the platform's limit for a reply

nlohmann::json ConfigWithManagement() {
  nlohmann::json config = BasicConfig();
  config["management"] = "127.0.0.1:0";
  return config;
}

// Returns what is received until the end of the stream, or within the time limit for a reply.
std::string ReceiveAll(Socket* socket) {
  const Time began_at = core::Now();
  while (core::Now() - began_at < kReplyMs * Time{1'000} && socket->Fill(kReplyMs)) {
  }
  return socket->received;
}

// Sends bytes on a new connection and returns the reply.
std::string Call(ScenarioRunner& runner, const std::string& bytes) {
  Socket socket = Socket::Connect(runner.initiator().management_port());
  REQUIRE(socket.Send(bytes));
  return ReceiveAll(&socket);
}

TEST_CASE("management: a cordoned target gets no requests, whatever discovery lists, until its cordon ends") {
  ScenarioRunner runner(Protocol::kHttp, ConfigWithManagement());
  runner.Play("discovery expect watch since=42\n discovery send a=SERVING b=SERVING");
  CHECK(Call(runner, "health\n") == "done serving\n");
  CHECK(Call(runner, "cordon a\n") == "done target a is cordoned\n");
  CHECK(Call(runner, "cordon a\r\n") == "done target a is cordoned\n");
  runner.Play(R"(
    client c send read
    client c expect refused
    discovery send delta a=DELETED
    discovery send delta a=SERVING
    discovery send a=SERVING b=SERVING
    wait 30
    signal HUP
    client c send read
    client c expect refused
    target a expect nothing 100
    client bob send read
    target b expect read
    target b send ok
    client bob expect served)");
  CHECK(Call(runner, "uncordon a\n") == "done target a is not cordoned\n");
  runner.Play(R"(
    client c send read
    target a expect read
    target a send ok
    client c expect served)");
}

TEST_CASE("management: an attempt in flight at the cordon completes, and the next request is refused") {
  ScenarioRunner runner(Protocol::kHttp, ConfigWithManagement());
  runner.Play("client c send read\n target a expect read");
  CHECK(Call(runner, "cordon a\n") == "done target a is cordoned\n");
  runner.Play(R"(
    target a send ok
    client c expect served
    client c send read
    client c expect refused)");
}

TEST_CASE("management: calls that cannot be executed get an error line") {
  ScenarioRunner runner(Protocol::kHttp, ConfigWithManagement());
  CHECK(Call(runner, "cordon s-9\n") == "error no endpoint list has contained the target s-9\n");
  CHECK(Call(runner, "uncordon s-9\n") == "error no endpoint list has contained the target s-9\n");
  CHECK(Call(runner, "reboot\n").rfind("error unknown call", 0) == 0);
  CHECK(Call(runner, "\n").rfind("error unknown call", 0) == 0);
  CHECK(Call(runner, std::string(600, 'x')).rfind("error the call is too long", 0) == 0);
  CHECK(Call(runner, "health\nhealth\n" + std::string(2'000, 'x')) == "done serving\n");
}

TEST_CASE("management: a call without a line end is not executed") {
  ScenarioRunner runner(Protocol::kHttp, ConfigWithManagement());
  Socket socket = Socket::Connect(runner.initiator().management_port());
  REQUIRE(socket.Send("cordon a"));
  socket.ShutdownSend();
  CHECK(ReceiveAll(&socket) == "error the call has no line end\n");
  runner.Play(R"(
    client c send read
    target a expect read
    target a send ok
    client c expect served)");
}

TEST_CASE("management: a caller that shuts down its sending side after the line gets its reply") {
  ScenarioRunner runner(Protocol::kHttp, ConfigWithManagement());
  Socket socket = Socket::Connect(runner.initiator().management_port());
  REQUIRE(socket.Send("cordon a\n"));
  socket.ShutdownSend();
  CHECK(ReceiveAll(&socket) == "done target a is cordoned\n");
}

TEST_CASE("management: a call sent in single bytes is executed once it is complete") {
  ScenarioRunner runner(Protocol::kHttp, ConfigWithManagement());
  Socket socket = Socket::Connect(runner.initiator().management_port());
  for (const char byte : std::string("cordon a")) {
    REQUIRE(socket.Send(std::string(1, byte)));
    CHECK_FALSE(socket.Readable(2));
  }
  REQUIRE(socket.Send("\n"));
  CHECK(ReceiveAll(&socket) == "done target a is cordoned\n");
}

TEST_CASE("management: silent callers do not keep others from a reply within 1 s") {
  ScenarioRunner runner(Protocol::kHttp, ConfigWithManagement());
  std::vector<Socket> silent;
  for (int number = 0; number < 400; ++number) {
    silent.push_back(Socket::Connect(runner.initiator().management_port()));
    if (number % 2 == 0) {
      REQUIRE(silent.back().Send("cordon "));
    }
  }
  const Time began_at = core::Now();
  CHECK(Call(runner, "health\n") == "done serving\n");
  CHECK(core::Now() - began_at < kReplyMs * Time{1'000});
}

TEST_CASE("management: health is an error after SIGTERM") {
  ScenarioRunner runner(Protocol::kHttp, ConfigWithManagement());
  runner.Play("client c send read\n target a expect read\n signal TERM\n wait 30");
  CHECK(Call(runner, "health\n") == "error shutting down\n");
  runner.Play("target a send ok\n client c expect served");
}

TEST_CASE("management: without the setting there is no listener") {
  ScenarioRunner runner(Protocol::kHttp);
  CHECK(runner.initiator().management_port() == 0);
}

TEST_CASE("management: an address that is in use or invalid ends the start with one line") {
  int port = 0;
  const Socket in_use = Socket::Listen(&port);
  nlohmann::json config = BasicConfig();
  config["management"] = "127.0.0.1:" + std::to_string(port);
  config["discovery"] = "127.0.0.1:1";
  CHECK_THROWS_WITH_AS(
      app::Initiator(app::ParseConfig(config)),
      ("cannot listen at 127.0.0.1:" + std::to_string(port) + ": Address already in use").c_str(),
      loop::ListenError);
  config["management"] = "nowhere";
  CHECK_THROWS_AS(app::ParseConfig(config), loop::AddressError);
}

}  // namespace
}  // namespace walnutspur::test
