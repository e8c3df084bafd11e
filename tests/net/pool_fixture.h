// Provides a target pool on an event loop that the test runs.
//
// Owned by the test; runs on the test's thread.
#ifndef WALNUTSPUR_TESTS_NET_POOL_FIXTURE_H_
#define WALNUTSPUR_TESTS_NET_POOL_FIXTURE_H_

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "http/target_pool.h"
#include "http_message.h"
#include "loopback_socket.h"

namespace walnutspur::test {

// Class PoolFixture is a target pool without an initiator. The test runs the event loop and thus decides
// which events one iteration handles.
class PoolFixture {
 public:
  PoolFixture() {
    config.connect_timeout = 100'000;
    base.reset(event_base_new());
    pool = std::make_unique<http::TargetPool>(base.get(), config, &memory, [this](core::Input input) {
      results.push_back(std::get<core::AttemptResult>(std::move(input)));
    });
    listener = Socket::Listen(&port);
    pool->SetAddress("a", "127.0.0.1:" + std::to_string(port));
  }
  ~PoolFixture() {  // libevent frees a bufferevent with a pending callback in the next iteration
    pool.reset();
    event_base_loop(base.get(), EVLOOP_NONBLOCK);
  }
  // Starts an attempt at target a. It must be sent by `start_by` and times out at `expires_at`; 0: no limit.
  void Start(core::RequestNumber request_number, Time start_by = 0, int attempt = 0, Time expires_at = 0) {
    auto request = std::make_shared<http::Request>();
    request->uri = "/api/" + std::to_string(request_number);
    request->id = "9b1f03aa5c7e2d41";
    core::StartAttempt start{request_number, attempt,   core::Protocol::kHttp, "a", 2'000'000, request,
                             start_by,       expires_at};
    pool->Start(start);
  }
  // Runs the loop until the condition holds. Fails the test after 4 s.
  template <typename Condition>
  void RunUntil(Condition condition) {
    const Time end = core::Now() + 4'000'000;
    while (!condition()) {
      REQUIRE(core::Now() < end);
      event_base_loop(base.get(), EVLOOP_NONBLOCK);
    }
  }
  // Returns the method and path of the next request on a connection.
  std::string ReceivedOn(Socket& connection) {
    const HttpMessage message = MessageOn(connection);
    return message.start_line.substr(0, message.start_line.find(" HTTP"));
  }
  // Returns the next request on a connection.
  HttpMessage MessageOn(Socket& connection) {
    HttpMessage message;
    RunUntil([&] { return connection.Readable(0) || !connection.received.empty(); });
    REQUIRE(ReadHttpMessage(connection, &message, 1'000));
    return message;
  }
  // Accepts the next connection that the pool opens.
  Socket Accept() {
    RunUntil([&] { return listener.Readable(0); });
    return listener.Accept();
  }

  http::Config config;
  loop::EventBasePtr base;
  core::MemoryAccount memory{config.memory_bytes()};
  std::unique_ptr<http::TargetPool> pool;
  std::vector<core::AttemptResult> results;
  Socket listener;
  int port = 0;
};

}  // namespace walnutspur::test

#endif  // WALNUTSPUR_TESTS_NET_POOL_FIXTURE_H_
