// The deadline that a request states to its target (X-Deadline): the time left when the request is written,
// not when its attempt was started.
//
// A connection that is established late, or an output that waits between the threads, delays the write. A
// deadline formatted at the attempt's start then states more time than the client has left: the target works
// on a request whose client has given up, and the platform's rule "deadline" is violated. The tests delay the
// write by 0.4 s and read the header that the target receives.
#include <doctest/doctest.h>

#include <cstdlib>

#include "pool_fixture.h"

namespace walnutspur::test {
namespace {

constexpr Time kTimeout = 2'000'000;  // us, of each attempt
constexpr Time kSlack = 150'000;      // us by which the stated deadline may exceed the time left
constexpr Time kHeldUp = 400'000;     // us
constexpr double kMicroseconds = 1e6;

// The deadline that a request states, us.
Time StatedDeadline(const HttpMessage& message) {
  return static_cast<Time>(std::strtod(message.Header("X-Deadline").c_str(), nullptr) * kMicroseconds);
}

}  // namespace

TEST_CASE("an attempt whose connection is established late states the time that is left by then") {
  PoolFixture fixture;
  fixture.config.connect_timeout = kTimeout;
  fixture.Start(1);
  // The loop handles the connection only after this delay, as if connecting had taken that time.
  const Time connected_at = core::Now() + kHeldUp;
  while (core::Now() < connected_at) {
  }
  Socket connection = fixture.Accept();
  const Time stated = StatedDeadline(fixture.MessageOn(connection));
  CHECK(stated <= kTimeout - kHeldUp + kSlack);
  CHECK(stated > 0);
}

TEST_CASE("an attempt that was delayed between the threads states the time that is left by then") {
  PoolFixture fixture;
  fixture.Start(1, 0, 0, core::Now() + kTimeout - kHeldUp);
  Socket connection = fixture.Accept();
  CHECK(StatedDeadline(fixture.MessageOn(connection)) <= kTimeout - kHeldUp + kSlack);
}

TEST_CASE("an attempt with no time left is not sent") {
  PoolFixture fixture;
  fixture.Start(1, 0, 0, core::Now() - 1);
  REQUIRE(fixture.results.size() == 1);
  CHECK(fixture.results[0].outcome == Outcome::kNotSent);
  CHECK_FALSE(fixture.listener.Readable(0));
}

}  // namespace walnutspur::test
