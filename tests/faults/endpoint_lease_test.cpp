// A real process whose discovery fails: what it does with an endpoint list that may be out of date.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "core/clock.h"
#include "fault_fixture.h"

namespace walnutspur::test {
namespace {

using lab::DiscoveryFault;
using lab::soak::FindViolations;
using lab::soak::ServedFraction;
using lab::soak::Testbed;
using lab::soak::TestbedOptions;
using lab::soak::Violation;

constexpr int kLargeFleet = 300;

struct FaultResult {
  std::vector<Violation> violations;
  double served_before = 0;     // part of the requests, before discovery failed
  double served_in_outage = 0;  // from 7 s to 9 s after discovery failed
  double served_after = 0;      // in the last 2 s
};

TestbedOptions Options(int configured_instances) {
  TestbedOptions options = ProcessOptions();
  options.configured_instances = configured_instances;
  options.load.write_fraction = 0.1;
  return options;
}

// Discovery fails, one target begins to drain, and 9 s later discovery works again.
FaultResult PlayDrainDuring(DiscoveryFault fault, int configured_instances) {
  Testbed testbed(Options(configured_instances));
  testbed.StartAll();
  testbed.RunFor(kSecond / 5);
  testbed.StartAllClients();
  const Time began_at = core::Now();
  testbed.RunFor(kSecond);
  const Time failed_at = core::Now();
  testbed.discovery().SetFault(fault);
  testbed.RunFor(kSecond / 4);
  testbed.SetEndpointState(0, EndpointState::kDraining);
  testbed.RunFor(9 * kSecond);
  testbed.discovery().SetFault(DiscoveryFault::kNone);
  testbed.RunFor(10 * kSecond);
  const Time ended_at = core::Now();
  StopClients(testbed);
  FaultResult result;
  result.violations = FindViolations(testbed.record(), {});
  result.served_before = ServedFraction(testbed.record(), began_at, failed_at);
  result.served_in_outage =
      ServedFraction(testbed.record(), failed_at + 7 * kSecond, failed_at + 9 * kSecond);
  result.served_after = ServedFraction(testbed.record(), ended_at - 2 * kSecond, ended_at);
  return result;
}

struct FaultCase {
  const char* name;
  DiscoveryFault fault;
  int configured_instances;
  FaultResult result;
};

void Play(FaultCase& played) { played.result = PlayDrainDuring(played.fault, played.configured_instances); }

}  // namespace

TEST_CASE("nothing is sent to a target 6 s and the grace after its drain, however discovery fails") {
  std::vector<FaultCase> cases;
  for (const int instances : {1, kLargeFleet}) {
    cases.push_back({"gives up", DiscoveryFault::kGivesUp, instances, {}});
    cases.push_back({"closes at once", DiscoveryFault::kClosesAtOnce, instances, {}});
    cases.push_back({"rejects at once", DiscoveryFault::kRejectsAtOnce, instances, {}});
    cases.push_back({"silent", DiscoveryFault::kSilent, instances, {}});
    cases.push_back({"cuts answers", DiscoveryFault::kCutsAnswers, instances, {}});
    cases.push_back({"refuses", DiscoveryFault::kRefuses, instances, {}});
  }
  PlayAll(cases, Play);
  for (const FaultCase& each : cases) {
    CAPTURE(each.name);
    CAPTURE(each.configured_instances);
    const FaultResult& result = each.result;
    CHECK_MESSAGE(result.violations.empty(), result.violations.size(),
                  " violations, first: ", FirstOf(result.violations));
    CHECK(result.served_before > 0.95);
    // Three of four targets serve once the list is back.
    CHECK(result.served_after > 0.6);
    if (each.fault == DiscoveryFault::kRefuses) {  // nothing can be announced meanwhile
      CHECK(result.served_in_outage > 0.9);
    }
  }
}

TEST_CASE("a process that starts with an old list sends nothing by it once its first call has failed") {
  Testbed testbed(Options(kLargeFleet));
  testbed.discovery().SetFault(DiscoveryFault::kGivesUp);
  testbed.SetEndpointState(0, EndpointState::kDraining);
  testbed.RunFor(7 * kSecond);
  testbed.StartAll();
  testbed.StartAllClients();
  testbed.RunFor(5 * kSecond);
  testbed.discovery().SetFault(DiscoveryFault::kNone);
  testbed.RunFor(10 * kSecond);
  const Time ended_at = core::Now();
  StopClients(testbed);
  const std::vector<Violation> violations = FindViolations(testbed.record(), {});
  CHECK_MESSAGE(violations.empty(), violations.size(), " violations, first: ", FirstOf(violations));
  CHECK(ServedFraction(testbed.record(), ended_at - 2 * kSecond, ended_at) > 0.6);
}

}  // namespace walnutspur::test
