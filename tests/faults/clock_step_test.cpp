// A real process whose wall clock is stepped, while it runs and before its start.
//
// An operator or NTP may set the wall clock while the program runs, or the machine may start with a wrong
// one. Code that takes durations from it shows as requests that time out or are rejected all at once, or as
// targets that stay in slow start for an hour since their stated start seems to lie in the future. The tests
// step the clock that the process sees by 1 s to 1 h, both ways, and check that it serves as before.
#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "fault_fixture.h"

namespace walnutspur::test {
namespace {

constexpr std::int64_t kMillisecondsPerMinute = 60'000;

// Part of the requests that a process serves, and the rules that it breaks.
struct StepResult {
  double served = 0;
  std::vector<lab::soak::Violation> violations;
};

struct StepCase {
  std::int64_t step_ms;
  std::int64_t step_at_ms;     // after the process's start
  std::int64_t targets_up_ms;  // for how long the targets have been up
  Time settle_time;            // us after the start from which requests count
  StepResult result;
};

std::int64_t UnixMilliseconds() {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  return duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void RunCase(StepCase& step) {
  const std::string sign = step.step_ms < 0 ? "" : "+";
  lab::soak::TestbedOptions options = FaultyProcessOptions("clock@" + std::to_string(step.step_at_ms) + "=" +
                                                           sign + std::to_string(step.step_ms));
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

TEST_CASE("a step of the wall clock in the run refuses no request") {
  std::vector<StepCase> cases;
  for (const std::int64_t step_ms : {-3'600'000, -10'000, -1'000, 1'000, 10'000, 3'600'000}) {
    cases.push_back({step_ms, 2'000, 10 * kMillisecondsPerMinute, 0, {}});
  }
  RunAllConcurrently(cases, RunCase);
  CheckServed(cases);
}

TEST_CASE("a wall clock that is wrong at the start keeps no target in slow start for longer than it lasts") {
  std::vector<StepCase> cases;
  for (const std::int64_t step_ms : {-3'600'000, -10'000, 10'000, 3'600'000}) {
    cases.push_back({step_ms, 0, 500, 3 * kSecond, {}});                          // in slow start
    cases.push_back({step_ms, 0, 10 * kMillisecondsPerMinute, 3 * kSecond, {}});  // in steady state
  }
  RunAllConcurrently(cases, RunCase);
  CheckServed(cases);
}

}  // namespace walnutspur::test
