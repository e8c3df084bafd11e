// Tests NBD over sockets: incomplete replies, stalled handshakes, invalid commands and idle connections.
#include <doctest/doctest.h>
#include <poll.h>

#include <thread>
#include <variant>

#include "nbd/config.h"
#include "nbd/front_end.h"
#include "nbd/messages.h"
#include "nbd_handshake.h"
#include "scenario_runner.h"

namespace walnutspur::test {
namespace {

using namespace std::string_literals;
using core::Protocol;

// Returns a connection that has completed the handshake for export "a".
Socket NegotiatedConnection(const ScenarioRunner& runner) {
  Socket socket = Socket::Connect(runner.nbd_port());
  socket.Send(nbd::ClientFlags() + GoOption("a"));
  while (socket.received.find(kReplyMagic + "\0\0\0\x07\0\0\0\x01"s) == std::string::npos) {
    REQUIRE(socket.Fill(2'000));
  }
  socket.received.clear();
  return socket;
}

TEST_CASE("NBD read: a reply in chunks reaches the client complete or as an error") {
  ScenarioRunner runner(Protocol::kNbd);
  runner.Play(R"(
    client c send read
    target a expect read
    target a send split
    client c expect served)");
  CHECK(runner.last_response().body == std::string(2048, 'r') + std::string(2048, '0'));
  for (const char* bad : {"torn", "short"}) {
    CAPTURE(bad);
    // A read is idempotent, so it is retried until the maximum number of attempts is reached.
    runner.Play("client c send read\n target a expect read\n target a send "s + bad +
                "\n target a expect read\n target a send " + bad +
                "\n target a expect read\n target a send " + bad + "\n client c expect refused");
  }
}

TEST_CASE("NBD target connection: a partial chunk or an unknown cookie closes it; only reads are retried") {
  ScenarioRunner runner(Protocol::kNbd);
  runner.Play(R"(
    client c send read
    target a expect read
    target a send half
    target a close
    target a expect read
    target a send strange
    target a expect closed
    target a expect read
    target a send ok
    client c expect served
    client c send write
    target a expect write
    target a send strange
    client c expect failed
    target a expect closed
    target a expect nothing 100)");
}

TEST_CASE("NBD front end: a handshake that stalls at the client times out and its connection is closed") {
  for (const char* start : {"", "\\x00\\x00", "\\x00\\x00\\x00\\x03IHAV",
                            "\\x00\\x00\\x00\\x03IHAVEOPT\\x00\\x00\\x00\\x07\\x00\\x00\\x00\\x07\\x00"}) {
    CAPTURE(start);
    ScenarioRunner runner(Protocol::kNbd);
    runner.Play("client c send bytes \""s + start + "\"\n client c expect closed");
    runner.Stop();
    CHECK(runner.initiator().nbd_front_end()->connections() == 0);
  }
}

TEST_CASE(
    "NBD target connection: when the handshake stalls, the waiting write is rejected and the connection is "
    "closed") {
  ScenarioRunner runner(Protocol::kNbd);
  runner.Play("client c send write");                 // the target accepts the connection and sends nothing
  runner.Play("client c expect refused\n wait 150");  // the response may precede the handshake time-out
  runner.Stop();
  CHECK(runner.initiator().nbd_target_connections() == 0);
}

TEST_CASE("NBD target connection: a write that waits for the handshake is not sent once the target drains") {
  ScenarioRunner runner(Protocol::kNbd);
  runner.Play(R"(
    client c send write
    wait 30
    discovery send delta a=DRAINING
    client c expect refused
    target a expect closed
    target a expect nothing 600)");
}

TEST_CASE("NBD front end: concurrent commands are matched to replies by cookie") {
  ScenarioRunner runner(Protocol::kNbd);
  runner.Play(R"(
    client c send read
    client c send write
    client c send flush
    target a expect read
    target a expect write
    target a expect flush
    target a send ok
    client c expect served
    client c close
    client d send read)");
  // The other commands were abandoned, so their connection accepts no further attempts.
  runner.Play(R"(
    target a expect closed
    target a expect read
    target a send ok
    client d expect served)");
}

TEST_CASE("NBD target connection: if a flush covers only one connection, writes have FUA") {
  ScenarioRunner runner(Protocol::kNbd);
  runner.Play("client c send write\n target a expect write");
  CHECK(runner.target_nbd_request("a").flags == nbd::kFua);
  runner.Play("target a send ok\n client c expect served\n client c send read\n target a expect read");
  CHECK(runner.target_nbd_request("a").flags == 0);
}

TEST_CASE("NBD front end: a DISC command cancels the commands in flight") {
  ScenarioRunner runner(Protocol::kNbd);
  runner.Play(R"(
    client c send write
    target a expect write
    client c send bytes "\x25\x60\x95\x13\x00\x00\x00\x02\x00\x00\x00\x00\x00\x00\x00\x09\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00"
    client c expect closed
    target a expect closed)");
}

TEST_CASE("NBD front end: an invalid command gets an error reply and never reaches a target") {
  ScenarioRunner runner(Protocol::kNbd);
  runner.Play("client c send read\n target a expect read\n target a send ok\n client c expect served");
  const struct {
    std::uint16_t type;
    std::uint32_t length;
  } cases[] = {
      {4, 4096}, {nbd::kRead, 0}, {nbd::kRead, 0x7fffffff}, {nbd::kFlush, 4096}};  // 4: TRIM, not offered
  for (const auto& [type, length] : cases) {
    Socket socket = NegotiatedConnection(runner);
    nbd::Request request;
    request.type = type;
    request.length = length;
    request.cookie = 77;
    std::string out;
    nbd::PutRequest(request, &out);
    socket.Send(out);
    while (socket.received.size() < 16) {
      REQUIRE(socket.Fill(2'000));
    }
    CHECK(nbd::Get<std::uint32_t>(socket.received, 4) != nbd::kOk);
    CHECK(nbd::Get<std::uint64_t>(socket.received, 8) == 77);
  }
  runner.Play("target a expect nothing 50");
}

TEST_CASE(
    "NBD front end: a client that completes no command in time is disconnected, even if it sends slowly") {
  ScenarioRunner runner(Protocol::kNbd);
  std::string command;
  nbd::Request request;
  request.type = nbd::kWrite;
  request.length = 4096;
  nbd::PutRequest(request, &command);
  SUBCASE("the command is incomplete in its header") { command.resize(9); }
  SUBCASE("the command is incomplete in its data") {}
  SUBCASE("the command is incomplete in the data of an oversized write") {
    command.replace(24, 4, "\x7f\xff\xff\xff");
  }
  Socket socket = NegotiatedConnection(runner);
  const Time before = core::Now();
  socket.Send(command);
  while (!socket.Readable(100) && core::Now() - before < 4'000'000) {
    socket.Send("x");
  }
  CHECK_FALSE(socket.Fill(0));
  CHECK(core::Now() - before < 3'000'000);
  runner.Play("target a expect nothing 1");
}

TEST_CASE("NBD front end: a command that came in time is executed although the loop is late to read it") {
  constexpr int kLoopStallMs = 2'700;  // longer than the timeout of a command
  constexpr std::size_t kDataBytes = 64 << 10;
  constexpr std::size_t kFirstBytes = 20'000;
  ScenarioRunner runner(Protocol::kNbd);
  nbd::Request request;
  request.type = nbd::kWrite;
  request.offset = std::uint64_t{1} << 60;  // beyond the export: replied to at once
  request.length = kDataBytes;
  std::string command;
  nbd::PutRequest(request, &command);
  command.resize(command.size() + kDataBytes);
  Socket socket = NegotiatedConnection(runner);
  REQUIRE(socket.Send(command.substr(0, kFirstBytes)));
  poll(nullptr, 0, 50);  // the front end reads the first part
  runner.StallLoop(kLoopStallMs);
  REQUIRE(socket.Send(command.substr(kFirstBytes)));
  CHECK(socket.Fill(kLoopStallMs + 2'000));
  CHECK(socket.open());
}

TEST_CASE("NBD front end: silent connections are evicted for a client; a connection with a request is not") {
  auto config = BasicConfig();
  config["limits"]["sockets"] = 100;  // allows six clients
  ScenarioRunner runner(Protocol::kNbd, config);
  runner.Play("client c send read\n target a expect read\n target a send ok\n client c expect served");
  std::vector<Socket> silent;
  for (int i = 0; i < 3; ++i) {
    silent.push_back(NegotiatedConnection(runner));
  }
  for (int i = 0; i < 40; ++i) {
    silent.push_back(Socket::Connect(runner.nbd_port()));
  }
  const Time before = core::Now();
  runner.Play(R"(
    client d send read
    target a expect read
    target a send ok
    client d expect served)");
  CHECK(core::Now() - before < 2'000'000);
  runner.Play(R"(
    client c send read
    target a expect read
    target a send ok
    client c expect served)");
  runner.Stop();
  CHECK(runner.initiator().nbd_front_end()->connections() <= 6);
}

// Guards against commands of many clients that exceed the memory limit together.
TEST_CASE(
    "NBD front end: writes wait for memory, reads without it are refused, and all are answered or "
    "submitted") {
  constexpr std::size_t kMemoryBytes = 2 << 20;  // of which a quarter is for commands
  constexpr std::uint32_t kDataBytes = 64 << 10;
  constexpr std::size_t kWrites = 16;
  std::unique_ptr<event_base, loop::Deleter<event_base_free>> base(event_base_new());
  nbd::Config config;
  config.listen = "127.0.0.1:0";
  config.exports = {{"a", 1 << 30, kDataBytes}};
  config.volumes.resize(1);
  config.classes = {{nbd::kRead, 0}, {nbd::kWrite, 0}};
  Settings settings;
  settings.classes.resize(1);
  settings.classes[0].deadline = 60'000'000;
  core::RequestNumbers numbers;
  core::MemoryAccount memory(kMemoryBytes);
  std::vector<core::RequestReceived> submitted;
  std::size_t received = 0;
  nbd::FrontEnd front(base.get(), config, settings, 4, &numbers, &memory, [&](core::Input input) {
    if (auto* request = std::get_if<core::RequestReceived>(&input)) {
      ++received;
      submitted.push_back(std::move(*request));
    }
  });
  Socket client = Socket::Connect(front.port());
  std::string commands = nbd::ClientFlags() + GoOption("a");
  nbd::Request request;
  request.length = kDataBytes;
  for (request.cookie = 0; request.cookie < kWrites; ++request.cookie) {
    request.type = nbd::kWrite;
    nbd::PutRequest(request, &commands);
    commands.append(kDataBytes, 'w');
  }
  std::thread sender([&] { client.Send(commands); });
  const auto run_until = [&](auto condition) {
    const Time end = core::Now() + 4'000'000;
    while (!condition() && core::Now() < end) {
      event_base_loop(base.get(), EVLOOP_NONBLOCK);
    }
    return condition();
  };
  CHECK(run_until([&] { return memory.budget().total() + kDataBytes > memory.budget().total_limit(); }));
  for (int turn = 0; turn < 1'000; ++turn) {
    event_base_loop(base.get(), EVLOOP_NONBLOCK);
  }
  CHECK(received < kMemoryBytes / 4 / kDataBytes);
  CHECK(run_until([&] {
    submitted.clear();  // their memory is free again
    return received == kWrites;
  }));
  sender.join();
  submitted.clear();
  core::MemoryReservation rest(&memory, limits::MemoryOwner::kHttpRequests);
  CHECK(rest.Resize(memory.budget().total_limit() - memory.budget().total()));
  client.received.clear();
  commands.clear();
  request.type = nbd::kRead;
  nbd::PutRequest(request, &commands);
  REQUIRE(client.Send(commands));
  const std::string refused = "\x67\x44\x66\x98\0\0\0"s + static_cast<char>(nbd::kNoMemory);
  CHECK(run_until([&] {
    if (client.Readable(0)) {
      client.Fill(0);
    }
    return client.received.find(refused) != std::string::npos;
  }));
  CHECK(received == kWrites);
}

TEST_CASE("NBD configuration: deploy/nbd.toml is valid, and invalid text is rejected") {
  Settings settings;
  settings.max_request_units = 6;
  const std::vector<std::string> classes = {"read", "write", "sweep"};
  const std::vector<std::string> plans = {"standard"};
  const nbd::Config config =
      nbd::LoadConfig(WALNUTSPUR_ROOT "/deploy/nbd.toml", classes, plans, settings, 10);
  REQUIRE(config.exports.size() == 1);
  CHECK(config.exports[0].max_command_bytes == 6 * 4096);
  CHECK(config.classes.at(nbd::kWrite) == 1);
  CHECK(nbd::UnitsOf(config, 4097) == 2);
  CHECK(nbd::UnitsOf(config, 0) == 1);
  for (const char* text : {"", "listen = 5", "listen = \"x\"\n[commands]\nread = \"none\"", "= ="}) {
    CAPTURE(text);
    CHECK_THROWS(nbd::ParseConfig(text, classes, plans, settings, 10));
  }
}

}  // namespace
}  // namespace walnutspur::test
