// Tests how a real process uses an endpoint list that may be outdated because discovery fails.
//
// In a run of about 300 processes, discovery failed for some seconds while targets began to drain. Processes
// without a working watch kept using their last list, and requests reached targets that had been draining for
// seconds, which violated the platform's rule "drain". The tests make discovery fail in each way that a
// process can observe and drain a target meanwhile. They check in the storage servers' record that no request
// reaches the target late, that requests are rejected rather than lost, and that service resumes after
// discovery has sent a list.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "core/clock.h"
#include "fault_fixture.h"

namespace walnutspur::test {
namespace {

using lab::DiscoveryFault;
using lab::soak::ClientResult;
using lab::soak::FindViolations;
using lab::soak::Record;
using lab::soak::ServedFraction;
using lab::soak::TestEnvironment;
using lab::soak::TestEnvironmentOptions;
using lab::soak::Violation;

constexpr int kLargeFleet = 300;
constexpr int kDrainedTarget = 0;  // the only target of the shard with the same number
constexpr int kMinRequests = 8;    // sent in 2 s by four clients that wait for the rejection of each request

// The numbers of requests that were sent and served in an interval, for shards with an active target and for
// the drained shard.
struct ShardService {
  int active_sent = 0;
  int active_served = 0;
  int drained_sent = 0;
  int drained_served = 0;

  double active_fraction() const { return active_sent > 0 ? 1.0 * active_served / active_sent : 0; }
};

struct FaultResult {
  std::vector<Violation> violations;
  double served_before = 0;     // fraction of the requests before discovery failed
  double served_in_outage = 0;  // fraction from 7 s to 9 s after discovery failed
  ShardService after;           // in the last 2 s
};

// Counts the requests that were sent from `from` until `until`. The kinds of shards are counted separately,
// since the clients draw the shards at random and requests to the drained shard cannot be served.
ShardService ServiceByShard(const Record& record, Time from, Time until) {
  ShardService service;
  for (const auto& [id, request] : record.requests) {
    if (request.sent_at < from || request.sent_at >= until) {
      continue;
    }
    const bool is_drained = request.shard == kDrainedTarget;
    const int served = request.result == ClientResult::kServed ? 1 : 0;
    ++(is_drained ? service.drained_sent : service.active_sent);
    (is_drained ? service.drained_served : service.active_served) += served;
  }
  return service;
}

// Checks that service has resumed on every shard except the drained target's.
void CheckResumed(const ShardService& service) {
  CAPTURE(service.active_sent);
  CAPTURE(service.drained_sent);
  CHECK(service.active_sent + service.drained_sent >= kMinRequests);
  CHECK(service.active_fraction() > 0.95);
  CHECK(service.drained_served == 0);
}

TestEnvironmentOptions Options(int configured_instances) {
  TestEnvironmentOptions options = ProcessOptions();
  options.configured_instances = configured_instances;
  options.load.write_fraction = 0.1;
  return options;
}

// Runs a process while discovery fails; one target begins to drain, and 9 s later discovery works again.
FaultResult RunDrainDuring(DiscoveryFault fault, int configured_instances) {
  TestEnvironment testbed(Options(configured_instances));
  testbed.StartAll();
  testbed.RunFor(kSecond / 5);
  testbed.StartAllClients();
  const Time began_at = core::Now();
  testbed.RunFor(kSecond);
  const Time failed_at = core::Now();
  testbed.discovery().SetFault(fault);
  testbed.RunFor(kSecond / 4);
  testbed.SetEndpointState(kDrainedTarget, EndpointState::kDraining);
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
  result.after = ServiceByShard(testbed.record(), ended_at - 2 * kSecond, ended_at);
  return result;
}

struct FaultCase {
  std::string name;
  DiscoveryFault fault;
  int configured_instances;
  FaultResult result;
};

void RunCase(FaultCase& fault_case) {
  fault_case.result = RunDrainDuring(fault_case.fault, fault_case.configured_instances);
}

// A target begins to drain while discovery can be reached for a time between two outages.
struct GapCase {
  Time gap = 0;  // us
  std::vector<Violation> violations;
};

void RunGapCase(GapCase& gap_case) {
  TestEnvironment testbed(Options(kLargeFleet));
  testbed.StartAll();
  testbed.RunFor(kSecond / 5);
  testbed.StartAllClients();
  testbed.RunFor(kSecond);
  testbed.discovery().SetFault(DiscoveryFault::kRefusesConnections);
  testbed.RunFor(5 * kSecond / 2);
  testbed.discovery().SetFault(DiscoveryFault::kNone);
  testbed.RunFor(gap_case.gap / 4);
  testbed.SetEndpointState(kDrainedTarget, EndpointState::kDraining);
  testbed.RunFor(3 * gap_case.gap / 4);
  testbed.discovery().SetFault(DiscoveryFault::kRefusesConnections);
  testbed.RunFor(9 * kSecond);
  testbed.discovery().SetFault(DiscoveryFault::kNone);
  StopClients(testbed);
  gap_case.violations = FindViolations(testbed.record(), {});
}

}  // namespace

TEST_CASE(
    "Initiator: while discovery fails, no request reaches a target later than 6 s plus the drain grace after "
    "its drain starts") {
  std::vector<FaultCase> cases;
  for (const int instances : {1, kLargeFleet}) {
    cases.push_back({"gives up", DiscoveryFault::kTimesOut, instances, {}});
    cases.push_back({"closes at once", DiscoveryFault::kClosesAtOnce, instances, {}});
    cases.push_back({"rejects at once", DiscoveryFault::kRejectsAtOnce, instances, {}});
    cases.push_back({"silent", DiscoveryFault::kSilent, instances, {}});
    cases.push_back({"truncates responses", DiscoveryFault::kTruncatesResponses, instances, {}});
    cases.push_back({"refuses connections", DiscoveryFault::kRefusesConnections, instances, {}});
  }
  RunAllConcurrently(cases, RunCase);
  for (const FaultCase& each : cases) {
    CAPTURE(each.name);
    CAPTURE(each.configured_instances);
    const FaultResult& result = each.result;
    CHECK_MESSAGE(result.violations.empty(), result.violations.size(),
                  " violations, first: ", DescribeFirst(result.violations));
    CHECK(result.served_before > 0.95);
    CheckResumed(result.after);
    if (each.fault == DiscoveryFault::kRefusesConnections) {  // no change can be announced in the meantime
      CHECK(result.served_in_outage > 0.9);
    }
  }
}

TEST_CASE("Initiator: a drain in the short time between two outages of discovery is not missed") {
  std::vector<GapCase> cases;
  for (const Time gap : {kSecond / 2, 3 * kSecond / 4, kSecond, 3 * kSecond / 2}) {
    cases.push_back({gap, {}});
  }
  RunAllConcurrently(cases, RunGapCase);
  for (const GapCase& each : cases) {
    CAPTURE(each.gap);
    CHECK(DescribeFirst(each.violations) == "");
  }
}

TEST_CASE("Initiator: an outdated list at the start is not used once the first discovery call has failed") {
  TestEnvironment testbed(Options(kLargeFleet));
  testbed.discovery().SetFault(DiscoveryFault::kTimesOut);
  testbed.SetEndpointState(kDrainedTarget, EndpointState::kDraining);
  testbed.RunFor(7 * kSecond);
  testbed.StartAll();
  testbed.StartAllClients();
  testbed.RunFor(5 * kSecond);
  testbed.discovery().SetFault(DiscoveryFault::kNone);
  testbed.RunFor(10 * kSecond);
  const Time ended_at = core::Now();
  StopClients(testbed);
  const std::vector<Violation> violations = FindViolations(testbed.record(), {});
  CHECK_MESSAGE(violations.empty(), violations.size(), " violations, first: ", DescribeFirst(violations));
  CheckResumed(ServiceByShard(testbed.record(), ended_at - 2 * kSecond, ended_at));
}

}  // namespace walnutspur::test
