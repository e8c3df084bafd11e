// Tests that the clients of the soak judge the process and not the lateness of their own event loop.
#include "lab/soak/load_client.h"

#include <doctest/doctest.h>
#include <poll.h>

#include "core/clock.h"
#include "lab/soak/stall_monitor.h"
#include "loopback_socket.h"

namespace walnutspur::lab::soak {
namespace {

using test::Socket;

constexpr Time kMillisecond = 1'000;
constexpr Time kDeadline = 100 * kMillisecond;
constexpr Time kGrace = 500 * kMillisecond;  // after the deadline, in which a response still counts
constexpr int kStallMs = 900;                // of the clients' event loop: longer than both together
constexpr const char* kResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

// Runs one client connection against a server socket of the test.
class ClientFixture {
 public:
  explicit ClientFixture(double disconnect_fraction = 0)
      : base_(event_base_new()), listener_(Socket::Listen(&port_)) {
    LoadOptions options;
    options.connections = 1;
    options.deadline = kDeadline;
    options.disconnect_fraction = disconnect_fraction;
    options.starts_at_once = true;
    const loop::Address server{"127.0.0.1", static_cast<std::uint16_t>(port_)};
    stall_monitor_.Start();
    client_ = std::make_unique<LoadClient>(base_.get(), 0, server, options, 1, &record_);
  }
  ~ClientFixture() {
    client_.reset();
    event_base_loop(base_.get(), EVLOOP_NONBLOCK);  // libevent frees streams in the next iteration
  }

  // Runs the loop until the client has written its first request. No further one is sent.
  Socket AcceptFirstRequest() {
    while (!listener_.Readable(0)) {
      event_base_loop(base_.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
    }
    Socket server = listener_.Accept();
    RunUntilReadable(server);
    client_->Stop();
    return server;
  }
  void RunUntilReadable(const Socket& socket) {
    while (!socket.Readable(0)) {
      event_base_loop(base_.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
    }
  }
  // Runs the loop until the kernel has established the client's connection, before the client has seen that.
  Socket AcceptBeforeRequest() {
    while (!listener_.Readable(0)) {
      event_base_loop(base_.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
    }
    client_->Stop();
    return listener_.Accept();
  }
  void RunUntil(Time end) {
    while (core::Now() < end) {
      event_base_loop(base_.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
    }
  }
  // Runs the loop until the first request has ended. Fails the test after 10 s.
  void RunUntilEnded() {
    const Time limit = core::Now() + 10'000 * kMillisecond;
    while (first_request().result == ClientResult::kOpen) {
      REQUIRE(core::Now() < limit);
      event_base_loop(base_.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
    }
  }
  const ClientRequest& first_request() const { return record_.requests.begin()->second; }

 private:
  loop::EventBasePtr base_;
  int port_ = 0;
  Socket listener_;
  Record record_;
  StallMonitor stall_monitor_{base_.get(), 0, nullptr, &record_};
  std::unique_ptr<LoadClient> client_;
};

TEST_CASE("LoadClient: a response that came in time counts although the clients' loop reads it late") {
  ClientFixture fixture;
  Socket server = fixture.AcceptFirstRequest();
  REQUIRE(server.Send(kResponse));
  poll(nullptr, 0, kStallMs);  // the loop does not run
  fixture.RunUntilEnded();
  CHECK(fixture.first_request().result == ClientResult::kServed);
}

TEST_CASE("LoadClient: a process gets the time again that the clients' loop has missed") {
  ClientFixture fixture;
  Socket server = fixture.AcceptFirstRequest();
  poll(nullptr, 0, kStallMs);
  fixture.RunUntil(core::Now() + 50 * kMillisecond);
  CHECK(fixture.first_request().result == ClientResult::kOpen);
  REQUIRE(server.Send(kResponse));
  fixture.RunUntilEnded();
  CHECK(fixture.first_request().result == ClientResult::kServed);
}

TEST_CASE(
    "LoadClient: a missing response is recorded at the end of the grace, and after a stall of the loop") {
  for (const int stall_ms : {0, kStallMs}) {
    CAPTURE(stall_ms);
    ClientFixture fixture;
    const Socket server = fixture.AcceptFirstRequest();
    poll(nullptr, 0, stall_ms);
    fixture.RunUntilEnded();
    const ClientRequest& request = fixture.first_request();
    CHECK(request.result == ClientResult::kNoResponse);
    CHECK(request.finished_at >= request.sent_at + kDeadline + kGrace);
  }
}

TEST_CASE(
    "LoadClient: a request on a connection that had ended before is told from one that its server had") {
  for (const bool ends_before : {true, false}) {
    CAPTURE(ends_before);
    ClientFixture fixture;
    Socket server = fixture.AcceptBeforeRequest();
    if (ends_before) {
      server.Close();  // as the kernel does for a process that is killed
    } else {
      fixture.RunUntilReadable(server);
      server.Close();
    }
    fixture.RunUntilEnded();
    CHECK(fixture.first_request().result == ClientResult::kNoResponse);
    CHECK(fixture.first_request().connection_had_ended == ends_before);
  }
}

TEST_CASE("LoadClient: the disconnect of a client reaches the process when it is recorded") {
  ClientFixture fixture(1);
  Socket server = fixture.AcceptFirstRequest();
  fixture.RunUntilEnded();
  CHECK(fixture.first_request().result == ClientResult::kDisconnected);
  while (server.Fill(0)) {
  }
  CHECK_FALSE(server.open());
}

}  // namespace
}  // namespace walnutspur::lab::soak
