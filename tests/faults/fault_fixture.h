// What the tests of a real process under faults have in common: a run of one process under load, and cases
// that run at the same time.
//
// Owner and thread: the test case; RunAllConcurrently runs each of its cases on a thread of its own.
#ifndef WALNUTSPUR_TESTS_FAULTS_FAULT_FIXTURE_H_
#define WALNUTSPUR_TESTS_FAULTS_FAULT_FIXTURE_H_

#include <string>
#include <thread>
#include <vector>

#include "core/clock.h"
#include "lab/soak/record_checker.h"
#include "lab/soak/testbed.h"

namespace walnutspur::test {

inline constexpr Time kSecond = 1'000'000;  // us

// One process of the program under test.
inline lab::soak::TestbedOptions ProcessOptions() {
  lab::soak::TestbedOptions options;
  options.program = WALNUTSPUR_PROGRAM;
  return options;
}

// One process whose system calls and clock follow a plan of the fault shim.
inline lab::soak::TestbedOptions FaultyProcessOptions(const std::string& plan) {
  lab::soak::TestbedOptions options = ProcessOptions();
  options.preload = WALNUTSPUR_FAULT_SHIM;
  options.environment["WALNUTSPUR_FAULTS"] = plan;
  return options;
}

// Stops the clients and waits until the last request has a response or has timed out.
inline void StopClients(lab::soak::Testbed& testbed) {
  testbed.StopAllClients();
  testbed.RunFor(2 * kSecond);
}

// One process that serves clients from its start.
class LoadRun {
 public:
  // Starts the process and its clients, runs them for this long, us, and stops the clients.
  LoadRun(const lab::soak::TestbedOptions& options, Time duration) : testbed_(options) {
    testbed_.StartAll();
    testbed_.StartAllClients();
    began_at_ = core::Now();
    testbed_.RunFor(duration);
    ended_at_ = core::Now();
    idle_ends_ = testbed_.record().idle_ends;
    StopClients(testbed_);
  }

  // Of the requests that were sent from `settle_time` us after the clients' start on.
  double ServedFraction(Time settle_time = 0) {
    return lab::soak::ServedFraction(testbed_.record(), began_at_ + settle_time, ended_at_);
  }
  // Connections that ended between requests while the clients were sending.
  int idle_ends() const { return idle_ends_; }
  bool IsRunning() { return testbed_.IsRunning(0); }
  std::vector<lab::soak::Violation> FindViolations() {
    return lab::soak::FindViolations(testbed_.record(), {});
  }

 private:
  lab::soak::Testbed testbed_;
  Time began_at_ = 0;
  Time ended_at_ = 0;
  int idle_ends_ = 0;
};

// The first violation in words, for the message of a check; empty where there is none.
inline std::string DescribeFirst(const std::vector<lab::soak::Violation>& violations) {
  return violations.empty() ? "" : violations.front().invariant + ": " + violations.front().description;
}

// Calls `run(case)` for all cases at the same time: they wait most of their time.
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
