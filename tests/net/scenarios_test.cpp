// Tests that scenarios have the same outcomes and scores over HTTP and over NBD.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "scenario_runner.h"

namespace walnutspur::test {
namespace {

// A scenario and its expected score.
struct Scenario {
  const char* name;
  const char* steps;
  double score;
};

const Scenario kScenarios[] = {
    {"a read and a write to an active target are served", R"(
      client c send read
      target a expect read
      target a send ok
      client c expect served
      client c send write
      target a expect write
      target a send ok
      client c expect served)",
     1},
    {"a read that fails at the target is retried", R"(
      client c send read
      target a expect read
      target a send error
      target a expect read
      target a send ok
      client c expect served)",
     1},
    {"a write that fails at the target may have run and is not retried", R"(
      client c send write
      target a expect write
      target a send error
      client c expect failed
      target a expect nothing 150)",
     0},
    {"a read whose connection is closed is retried on a new connection", R"(
      client c send read
      target a expect read
      target a close
      target a expect read
      target a send ok
      client c expect served)",
     1},
    {"a write whose connection is closed after its last byte was sent may have run and is not retried", R"(
      client c send write
      target a expect write
      target a close
      client c expect failed
      target a expect nothing 150)",
     0},
    {"a write whose reused connection is closed may have run and is not retried", R"(
      client c send write
      target a expect write
      target a send ok
      client c expect served
      client c send write
      target a expect write
      target a close
      client c expect failed
      target a expect nothing 150)",
     0.5},
    {"a write to an unreachable target has not run and is rejected", R"(
      target a close listener
      client c send write
      client c expect refused)",
     0},
    {"a read that the target rejects is retried", R"(
      client c send read
      target a expect read
      target a send busy
      target a expect read
      target a send ok
      client c expect served)",
     1},
    {"a write to a target that never responds fails before its deadline, once", R"(
      client c send write
      target a expect write
      client c expect failed
      client c expect nothing 150)",
     0},
    {"a read to a target that never responds is rejected before its deadline, once", R"(
      client c send read
      target a expect read
      client c expect refused
      client c expect nothing 150)",
     0},
    {"the request of a client that disconnects is cancelled", R"(
      client c send write
      target a expect write
      client c close
      target a expect closed
      client d send read
      target a expect read
      target a send ok
      client d expect served)",
     1},
    {"the request of a client connection that is reset is cancelled", R"(
      client c send read
      target a expect read
      client c close reset
      target a expect closed)",
     0},
    {"a draining target gets no new request, and the client gets one response", R"(
      discovery send delta a=DRAINING
      wait 30
      client c send write
      client c expect refused
      target a expect nothing 600
      client c expect nothing 1)",
     0},
    {"a request in flight at a target that starts to drain is still served", R"(
      client c send write
      target a expect write
      discovery send delta a=DRAINING
      wait 30
      target a send ok
      client c expect served
      client c send write
      client c expect refused
      target a expect nothing 600)",
     0.5},
    {"a target that is missing from a complete list gets no new request", R"(
      discovery send b=SERVING
      wait 30
      client c send read
      client c expect refused
      target a expect nothing 300)",
     0},
    {"a write with a malformed response may have run and is not retried", R"(
      client c send write
      target a expect write
      target a send noise
      client c expect failed
      target a expect closed
      target a expect nothing 150)",
     0},
    {"a read whose response declares 3 GB is retried at once on a new connection", R"(
      client c send read
      target a expect read
      target a send huge
      target a expect read
      target a send ok
      client c expect served)",
     1},
    {"surplus bytes after a response close the connection, and the next request is served", R"(
      client c send write
      target a expect write
      target a send ok-and-more
      client c expect served
      client c send write
      target a expect write
      target a send ok
      client c expect served)",
     1},
    {"unsolicited bytes from a target close the connection, and the next request is served", R"(
      client c send write
      target a expect write
      target a send ok
      client c expect served
      target a send noise
      target a expect closed
      client c send write
      target a expect write
      target a send ok
      client c expect served)",
     1},
    {"a slow target does not delay requests to another target", R"(
      client c send read
      target a expect read
      client bob send read
      target b expect read
      target b send ok
      client bob expect served
      target a send ok
      client c expect served)",
     1},
};

TEST_CASE("scenarios: over HTTP and NBD, the outcomes and scores are the same") {
  for (const Scenario& scenario : kScenarios) {
    SUBCASE(scenario.name) {
      for (const core::Protocol protocol : {core::Protocol::kHttp, core::Protocol::kNbd}) {
        CAPTURE(protocol == core::Protocol::kHttp ? "HTTP" : "NBD");
        ScenarioRunner runner(protocol);
        runner.Play(scenario.steps);
        CHECK(runner.score() == doctest::Approx(scenario.score));
      }
    }
  }
}

}  // namespace
}  // namespace walnutspur::test
