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
#include <thread>
#include <vector>

#include "core/clock.h"
#include "lab/soak/record_checker.h"
#include "lab/soak/testbed.h"

namespace walnutspur::test {
namespace {

using lab::soak::FindViolations;
using lab::soak::ServedFraction;
using lab::soak::Testbed;
using lab::soak::TestbedOptions;
using lab::soak::Violation;

constexpr Time kSecond = 1'000'000;
constexpr std::int64_t kMillisecondsPerMinute = 60'000;

// Part of the requests that a process serves, and the rules that it breaks.
struct StepResult {
  double served = 0;
  std::vector<Violation> violations;
};

struct StepCase {
  std::int64_t step_ms;
  std::int64_t step_at_ms;     // after the process's start
  std::int64_t targets_up_ms;  // for how long the targets have been up
  Time settle;                 // us after the start from which requests count
  StepResult result;
};

std::int64_t UnixMilliseconds() {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  return duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

StepResult Play(const StepCase& step) {
  TestbedOptions options;
  options.program = WALNUTSPUR_PROGRAM;
  options.preload = WALNUTSPUR_FAULT_SHIM;
  const std::string sign = step.step_ms < 0 ? "" : "+";
  options.environment["WALNUTSPUR_FAULTS"] =
      "clock@" + std::to_string(step.step_at_ms) + "=" + sign + std::to_string(step.step_ms);
  options.up_since_ms = UnixMilliseconds() - step.targets_up_ms;
  options.load.connections = 8;
  options.load.think_time = 15'000;
  Testbed testbed(options);
  testbed.StartAll();
  testbed.StartAllClients();
  const Time began_at = core::Now();
  testbed.RunFor(6 * kSecond);
  const Time ended_at = core::Now();
  testbed.StopAllClients();
  testbed.RunFor(2 * kSecond);
  return {ServedFraction(testbed.record(), began_at + step.settle, ended_at),
          FindViolations(testbed.record(), {})};
}

// Each case on a thread of its own: they wait most of their time.
void PlayAll(std::vector<StepCase>& cases) {
  std::vector<std::thread> threads;
  threads.reserve(cases.size());
  for (StepCase& each : cases) {
    threads.emplace_back([&each] { each.result = Play(each); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

void CheckServed(const std::vector<StepCase>& cases) {
  for (const StepCase& each : cases) {
    CAPTURE(each.step_ms);
    CAPTURE(each.targets_up_ms);
    CHECK(each.result.served > 0.98);
    CHECK(each.result.violations.empty());
  }
}

}  // namespace

TEST_CASE("a step of the wall clock in the run refuses no request") {
  std::vector<StepCase> cases;
  for (const std::int64_t step_ms : {-3'600'000, -10'000, -1'000, 1'000, 10'000, 3'600'000}) {
    cases.push_back({step_ms, 2'000, 10 * kMillisecondsPerMinute, 0, {}});
  }
  PlayAll(cases);
  CheckServed(cases);
}

TEST_CASE("a wall clock that is wrong at the start keeps no target in slow start for longer than it lasts") {
  std::vector<StepCase> cases;
  for (const std::int64_t step_ms : {-3'600'000, -10'000, 10'000, 3'600'000}) {
    cases.push_back({step_ms, 0, 500, 3 * kSecond, {}});                          // in slow start
    cases.push_back({step_ms, 0, 10 * kMillisecondsPerMinute, 3 * kSecond, {}});  // in steady state
  }
  PlayAll(cases);
  CheckServed(cases);
}

}  // namespace walnutspur::test
