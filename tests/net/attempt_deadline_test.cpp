// Tests the deadline that a request states to its target (X-Deadline): the time left when the request is
// written, not when its attempt is started.
//
// The write is delayed if a connection is established late or if an output waits in the queue between the
// threads. A deadline formatted at the attempt's start would then state more time than the client has left:
// the target would work on a request whose client has given up, which violates the platform's rule
// "deadline". The tests delay the write by 0.4 s and read the header that the target receives.
#include <doctest/doctest.h>
#include <poll.h>

#include <cstdlib>

#include "pool_fixture.h"

namespace walnutspur::test {
namespace {

constexpr Time kTimeout = 2'000'000;   // timeout of each attempt, us
constexpr Time kTolerance = 150'000;   // maximum excess of the stated deadline over the time left, us
constexpr Time kWriteDelay = 400'000;  // us
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr int kSettleMs = 100;  // after it an idle connection carries the next request at once

// Returns the deadline that a request states, us.
Time StatedDeadline(const HttpMessage& message) {
  return static_cast<Time>(std::strtod(message.Header("X-Deadline").c_str(), nullptr) *
                           kMicrosecondsPerSecond);
}

}  // namespace

TEST_CASE("X-Deadline: if the connection is established late, the request states the remaining time") {
  PoolFixture fixture;
  fixture.config.connect_timeout = kTimeout;
  fixture.Start(1);
  // The loop handles the connection only after this delay, as if connecting had taken that long.
  const Time connected_at = core::Now() + kWriteDelay;
  while (core::Now() < connected_at) {
  }
  Socket connection = fixture.Accept();
  const Time stated = StatedDeadline(fixture.MessageOn(connection));
  CHECK(stated <= kTimeout - kWriteDelay + kTolerance);
  CHECK(stated > 0);
}

TEST_CASE(
    "X-Deadline: if the attempt is delayed between the threads, the request states the remaining time") {
  PoolFixture fixture;
  fixture.Start(1, 0, 0, core::Now() + kTimeout - kWriteDelay);
  Socket connection = fixture.Accept();
  CHECK(StatedDeadline(fixture.MessageOn(connection)) <= kTimeout - kWriteDelay + kTolerance);
}

TEST_CASE("X-Deadline: a request is on its way when its deadline is stated, not one loop iteration later") {
  PoolFixture fixture;
  fixture.Start(1);
  Socket connection = fixture.Accept();
  fixture.MessageOn(connection);
  REQUIRE(connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
  fixture.RunUntil([&] { return fixture.results.size() == 1; });
  poll(nullptr, 0, kSettleMs);
  fixture.Start(2);  // on the idle connection
  CHECK(connection.Readable(0));
}

TEST_CASE("TargetPool: an attempt with no time left is not sent") {
  PoolFixture fixture;
  fixture.Start(1, 0, 0, core::Now() - 1);
  REQUIRE(fixture.results.size() == 1);
  CHECK(fixture.results[0].outcome == Outcome::kNotSent);
  CHECK_FALSE(fixture.listener.Readable(0));
}

}  // namespace walnutspur::test
