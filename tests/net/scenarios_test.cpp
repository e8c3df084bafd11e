// Scenarios that play the same over HTTP and over NBD, with the same outcomes and the same scores.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "scenario_runner.h"

namespace walnutspur::test {
namespace {

struct Scenario {
  const char* name;
  const char* steps;
  double score;
};

const Scenario kScenarios[] = {
    {"a read and a write are served", R"(
      client c send read
      box a expect read
      box a send ok
      client c expect served
      client c send write
      box a expect write
      box a send ok
      client c expect served)",
     1},
    {"a read that failed is sent again", R"(
      client c send read
      box a expect read
      box a send error
      box a expect read
      box a send ok
      client c expect served)",
     1},
    {"a write that failed may have run and is never sent again", R"(
      client c send write
      box a expect write
      box a send error
      client c expect failed
      box a expect nothing 150)",
     0},
    {"a read whose connection breaks is sent again on a new one", R"(
      client c send read
      box a expect read
      box a close
      box a expect read
      box a send ok
      client c expect served)",
     1},
    {"a write whose connection breaks after its last byte may have run", R"(
      client c send write
      box a expect write
      box a close
      client c expect failed
      box a expect nothing 150)",
     0},
    {"a write on a connection used before that breaks may have run as well", R"(
      client c send write
      box a expect write
      box a send ok
      client c expect served
      client c send write
      box a expect write
      box a close
      client c expect failed
      box a expect nothing 150)",
     0.5},
    {"a box that cannot be reached has run nothing, so a write is refused", R"(
      box a close listener
      client c send write
      client c expect refused)",
     0},
    {"a read that was turned away goes again", R"(
      client c send read
      box a expect read
      box a send busy
      box a expect read
      box a send ok
      client c expect served)",
     1},
    {"a box that never answers: a write fails in time, once", R"(
      client c send write
      box a expect write
      client c expect failed
      client c expect nothing 150)",
     0},
    {"a box that never answers: a read is refused in time, once", R"(
      client c send read
      box a expect read
      client c expect refused
      client c expect nothing 150)",
     0},
    {"a client that leaves takes its request along", R"(
      client c send write
      box a expect write
      client c close
      box a expect closed
      client d send read
      box a expect read
      box a send ok
      client d expect served)",
     1},
    {"a client that is reset takes its request along", R"(
      client c send read
      box a expect read
      client c close reset
      box a expect closed)",
     0},
    {"a draining box gets nothing new, the request gets one answer", R"(
      discovery send delta a=DRAINING
      wait 30
      client c send write
      client c expect refused
      box a expect nothing 600
      client c expect nothing 1)",
     0},
    {"what a box had when it began to drain is still answered", R"(
      client c send write
      box a expect write
      discovery send delta a=DRAINING
      wait 30
      box a send ok
      client c expect served
      client c send write
      client c expect refused
      box a expect nothing 600)",
     0.5},
    {"a box that a complete list leaves out gets nothing new", R"(
      discovery send b=SERVING
      wait 30
      client c send read
      client c expect refused
      box a expect nothing 300)",
     0},
    {"a write whose answer cannot be read may have run and is never sent again", R"(
      client c send write
      box a expect write
      box a send noise
      client c expect failed
      box a expect closed
      box a expect nothing 150)",
     0},
    {"a read whose answer claims 3 GB is sent again at once, on a new connection", R"(
      client c send read
      box a expect read
      box a send huge
      box a expect read
      box a send ok
      client c expect served)",
     1},
    {"what comes behind an answer ends the connection, not the next request", R"(
      client c send write
      box a expect write
      box a send ok-and-more
      client c expect served
      client c send write
      box a expect write
      box a send ok
      client c expect served)",
     1},
    {"what a box says unasked ends the connection, not the next request", R"(
      client c send write
      box a expect write
      box a send ok
      client c expect served
      box a send noise
      box a expect closed
      client c send write
      box a expect write
      box a send ok
      client c expect served)",
     1},
    {"one slow box holds up no other", R"(
      client c send read
      box a expect read
      client bob send read
      box b expect read
      box b send ok
      client bob expect served
      box a send ok
      client c expect served)",
     1},
};

TEST_CASE("the same scenarios give the same outcomes and scores under both protocols") {
  for (const Scenario& scenario : kScenarios) {
    SUBCASE(scenario.name) {
      for (const core::Protocol wire : {core::Protocol::kHttp, core::Protocol::kNbd}) {
        CAPTURE(wire == core::Protocol::kHttp ? "HTTP" : "NBD");
        ScenarioRunner stage(wire);
        stage.Play(scenario.steps);
        CHECK(stage.score() == doctest::Approx(scenario.score));
      }
    }
  }
}

}  // namespace
}  // namespace walnutspur::test
