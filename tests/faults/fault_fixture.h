// Fixture for tests of a real process under faults: runs one process under load, and runs cases concurrently.
//
// Owned by the test case and used on its thread; RunAllConcurrently runs each of its cases on a thread of its
// own.
#ifndef WALNUTSPUR_TESTS_FAULTS_FAULT_FIXTURE_H_
#define WALNUTSPUR_TESTS_FAULTS_FAULT_FIXTURE_H_

#include <string>
#include <thread>
#include <vector>

#include "core/clock.h"
#include "lab/soak/record_checker.h"
#include "lab/soak/test_environment.h"

namespace walnutspur::test {

inline constexpr Time kSecond = 1'000'000;  // us

// Returns the options of a test environment with one process of the program under test.
inline lab::soak::TestEnvironmentOptions ProcessOptions() {
  lab::soak::TestEnvironmentOptions options;
  options.program = WALNUTSPUR_PROGRAM;
  return options;
}

// Returns the options for one process whose system calls and clock follow a plan of the fault shim.
inline lab::soak::TestEnvironmentOptions FaultyProcessOptions(const std::string& plan) {
  lab::soak::TestEnvironmentOptions options = ProcessOptions();
  options.preload = WALNUTSPUR_FAULT_SHIM;
  options.environment["WALNUTSPUR_FAULTS"] = plan;
  return options;
}

// Stops the clients and waits until the last request has a response or has timed out.
inline void StopClients(lab::soak::TestEnvironment& testbed) {
  testbed.StopAllClients();
  testbed.RunFor(2 * kSecond);
}

// Runs one process that serves clients from its start.
class LoadRun {
 public:
  // Starts the process and its clients, runs them for `duration` (us), and stops the clients.
  LoadRun(const lab::soak::TestEnvironmentOptions& options, Time duration) : testbed_(options) {
    testbed_.StartAll();
    testbed_.StartAllClients();
    began_at_ = core::Now();
    testbed_.RunFor(duration);
    ended_at_ = core::Now();
    idle_ends_ = testbed_.record().idle_ends;
    StopClients(testbed_);
  }

  // Returns the served fraction of the requests that were sent at least `settle_time` us after the clients'
  // start.
  double ServedFraction(Time settle_time = 0) {
    return lab::soak::ServedFraction(testbed_.record(), began_at_ + settle_time, ended_at_);
  }
  // Returns the number of connections that were closed between requests while the clients were sending.
  int idle_ends() const { return idle_ends_; }
  bool IsRunning() { return testbed_.IsRunning(0); }
  std::vector<lab::soak::Violation> FindViolations() {
    return lab::soak::FindViolations(testbed_.record(), {});
  }

 private:
  lab::soak::TestEnvironment testbed_;
  Time began_at_ = 0;
  Time ended_at_ = 0;
  int idle_ends_ = 0;
};

// Returns a description of the first violation for the message of a check; empty if there is none.
inline std::string DescribeFirst(const std::vector<lab::soak::Violation>& violations) {
  return violations.empty() ? "" : violations.front().invariant + ": " + violations.front().description;
}

// Calls `run(case)` for all cases concurrently, since they spend most of their time waiting.
template <typename Case, typename Run>
void RunAllConcurrently(std::vector<Case>& cases, Run run) {
  std::vector<std::thread> threads;
  threads.reserve(cases.size());
  for (Case& each : cases) {
    threads.emplace_back([&each, run] { run(each); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

}  // namespace walnutspur::test

#endif  // WALNUTSPUR_TESTS_FAULTS_FAULT_FIXTURE_H_
