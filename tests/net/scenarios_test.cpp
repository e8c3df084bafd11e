// Scenarios that give the same outcomes and scores over HTTP and over NBD.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "scenario_runner.h"

namespace walnutspur::test {
namespace {

// A scenario and the score that it ends with.
struct Scenario {
  const char* name;
  const char* steps;
  double score;
};

const Scenario kScenarios[] = {
    {"a read and a write are served", R"(
      client c send read
      target a expect read
      target a send ok
      client c expect served
      client c send write
      target a expect write
      target a send ok
      client c expect served)",
     1},
    {"a read that failed is retried", R"(
      client c send read
      target a expect read
      target a send error
      target a expect read
      target a send ok
      client c expect served)",
     1},
    {"a write that failed may have run and is never retried", R"(
      client c send write
      target a expect write
      target a send error
      client c expect failed
      target a expect nothing 150)",
     0},
    {"a read whose connection breaks is retried on a new one", R"(
      client c send read
      target a expect read
      target a close
      target a expect read
      target a send ok
      client c expect served)",
     1},
    {"a write whose connection breaks after its last byte may have run", R"(
      client c send write
      target a expect write
      target a close
      client c expect failed
      target a expect nothing 150)",
     0},
    {"a write on a connection used before that breaks may have run as well", R"(
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
    {"an unreachable target has run nothing, so a write is rejected", R"(
      target a close listener
      client c send write
      client c expect refused)",
     0},
    {"a read that was rejected is retried", R"(
      client c send read
      target a expect read
      target a send busy
      target a expect read
      target a send ok
      client c expect served)",
     1},
    {"a target that never responds: a write fails in time, once", R"(
      client c send write
      target a expect write
      client c expect failed
      client c expect nothing 150)",
     0},
    {"a target that never responds: a read is rejected in time, once", R"(
      client c send read
      target a expect read
      client c expect refused
      client c expect nothing 150)",
     0},
    {"a client that disconnects cancels its request", R"(
      client c send write
      target a expect write
      client c close
      target a expect closed
      client d send read
      target a expect read
      target a send ok
      client d expect served)",
     1},
    {"a client connection that is reset cancels its request", R"(
      client c send read
      target a expect read
      client c close reset
      target a expect closed)",
     0},
    {"a draining target gets nothing new, the request gets one response", R"(
      discovery send delta a=DRAINING
      wait 30
      client c send write
      client c expect refused
      target a expect nothing 600
      client c expect nothing 1)",
     0},
    {"what a target had in flight when it began to drain is still served", R"(
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
    {"a target that a complete list omits gets nothing new", R"(
      discovery send b=SERVING
      wait 30
      client c send read
      client c expect refused
      target a expect nothing 300)",
     0},
    {"a write with a malformed response may have run and is never retried", R"(
      client c send write
      target a expect write
      target a send noise
      client c expect failed
      target a expect closed
      target a expect nothing 150)",
     0},
    {"a read whose response claims 3 GB is retried at once, on a new connection", R"(
      client c send read
      target a expect read
      target a send huge
      target a expect read
      target a send ok
      client c expect served)",
     1},
    {"surplus bytes after a response end the connection, not the next request", R"(
      client c send write
      target a expect write
      target a send ok-and-more
      client c expect served
      client c send write
      target a expect write
      target a send ok
      client c expect served)",
     1},
    {"unsolicited bytes of a target end the connection, not the next request", R"(
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
    {"one slow target delays no other", R"(
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

TEST_CASE("the same scenarios give the same outcomes and scores under both protocols") {
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
