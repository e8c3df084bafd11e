// Tests a real process that is stopped under load, as if the machine gave it no processor time.
//
// Requests that arrive in the meantime are read late. If their deadlines counted from the time of reading,
// targets would work on requests whose clients have given up.
#include <doctest/doctest.h>

#include <csignal>

#include "fault_fixture.h"

namespace walnutspur::test {
namespace {

constexpr Time kStopDuration = 400'000;  // us, well over the tolerance of the check
constexpr Time kStopInterval = 600'000;  // us
constexpr int kStops = 6;

TEST_CASE("Initiator: after a stop of the process, attempts state the time that their clients still wait") {
  lab::soak::TestEnvironmentOptions options = ProcessOptions();
  options.load.connections = 16;
  options.load.think_time = 20'000;
  options.load.deadline = 500'000;
  lab::soak::TestEnvironment environment(options);
  environment.StartAll();
  environment.StartAllClients();
  for (int stop = 0; stop < kStops; ++stop) {
    environment.RunFor(kStopInterval);
    environment.Signal(0, SIGSTOP);
    environment.RunFor(kStopDuration);
    environment.Signal(0, SIGCONT);
  }
  environment.RunFor(kStopInterval);
  StopClients(environment);
  CHECK(environment.IsRunning(0));
  CHECK(environment.record().arrivals.size() > 100);
  CHECK(DescribeFirst(lab::soak::FindViolations(environment.record(), {})) == "");
}

TEST_CASE("Initiator: SIGHUP as soon as the process can take it does not end it") {
  lab::soak::TestEnvironment environment(ProcessOptions());
  for (int start = 0; start < 20; ++start) {
    environment.Start(0, lab::soak::TestEnvironment::StartMode::kAtOnce);
    environment.Reload(0);
    environment.RunFor(kSecond / 5);
    CHECK(environment.IsRunning(0));
    environment.Kill(0);
  }
}

}  // namespace
}  // namespace walnutspur::test
