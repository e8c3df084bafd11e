// Steps the wall clock of a real process, while it runs and before it starts.
//
// An operator or NTP may set the wall clock while the program runs, or the machine may start with a wrong
// clock. If code measures durations with the wall clock, all requests time out or are rejected at the same
// time, or targets stay in slow start for an hour, since their reported start seems to lie in the future. The
// tests step the process's clock by 1 s to 1 h in both directions and check that it serves requests as
// before.
#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "fault_fixture.h"

namespace walnutspur::test {
namespace {

constexpr std::int64_t kMillisecondsPerMinute = 60'000;

// The fraction of requests that a process served, and the rules that it violated.
struct StepResult {
  double served = 0;
  std::vector<lab::soak::Violation> violations;
};

struct StepCase {
  std::int64_t step_ms;
  std::int64_t step_at_ms;     // after the process's start
  std::int64_t targets_up_ms;  // for how long the targets have been up
  Time settle_time;            // us after the start; later requests are counted
  StepResult result;
};

std::int64_t UnixMilliseconds() {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  return duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void RunCase(StepCase& step) {
  const std::string sign = step.step_ms < 0 ? "" : "+";
  lab::soak::TestEnvironmentOptions options = FaultyProcessOptions(
      "clock@" + std::to_string(step.step_at_ms) + "=" + sign + std::to_string(step.step_ms));
  options.up_since_ms = UnixMilliseconds() - step.targets_up_ms;
  options.load.connections = 8;
  options.load.think_time = 15'000;
  LoadRun run(options, 6 * kSecond);
  step.result = {run.ServedFraction(step.settle_time), run.FindViolations()};
}

void CheckServed(const std::vector<StepCase>& cases) {
  for (const StepCase& each : cases) {
    CAPTURE(each.step_ms);
    CAPTURE(each.targets_up_ms);
    CHECK(each.result.served > 0.98);
    CHECK_MESSAGE(each.result.violations.empty(), DescribeFirst(each.result.violations));
  }
}

}  // namespace

TEST_CASE("Initiator: with a step of the wall clock during the run, requests are served as before") {
  std::vector<StepCase> cases;
  for (const std::int64_t step_ms : {-3'600'000, -10'000, -1'000, 1'000, 10'000, 3'600'000}) {
    cases.push_back({step_ms, 2'000, 10 * kMillisecondsPerMinute, 0, {}});
  }
  RunAllConcurrently(cases, RunCase);
  CheckServed(cases);
}

TEST_CASE("Initiator: with a wrong wall clock at the start, no target stays in slow start too long") {
  std::vector<StepCase> cases;
  for (const std::int64_t step_ms : {-3'600'000, -10'000, 10'000, 3'600'000}) {
    cases.push_back({step_ms, 0, 500, 3 * kSecond, {}});                          // in slow start
    cases.push_back({step_ms, 0, 10 * kMillisecondsPerMinute, 3 * kSecond, {}});  // in steady state
  }
  RunAllConcurrently(cases, RunCase);
  CheckServed(cases);
}

}  // namespace walnutspur::test
