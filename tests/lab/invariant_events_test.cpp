// Tests, on hand-written events, the invariants that no mutation of a simulated cluster can violate, and the
// table of the invariants.
#include <doctest/doctest.h>

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "lab/invariants/invariant_checker.h"
#include "lab/invariants/invariant_names.h"
#include "lab/invariants/invariant_table.h"

namespace walnutspur::lab::invariants {
namespace {

constexpr Time kDeadline = 1'000'000;

// Returns the events of one request that server 0 serves at the first attempt.
std::vector<Event> CleanRun() {
  return {{0, RunLimits{3, 500'000}},
          {1, EndpointNotified{0, 0, true, 7}},
          {2, RequestSent{1, 0, 7, RequestTerms{false, kDeadline}}},
          {3, AttemptSent{1, 0, 0, 0, 0}},
          {4, AttemptAccepted{1, 0, 0, 1000}},
          {5, WorkStarted{1, 0, 0}},
          {6, WorkFinished{1, 0, 1000}},
          {7, AttemptEnded{1, 0, true}},
          {8, ResponseReceived{1, core::ResponseStatus::kServed}},
          {9, WorkRemaining{0, 0}},
          {2 * kDeadline, RunEnded{}}};
}

std::vector<std::string> ViolatedBy(const std::vector<Event>& events) {
  std::vector<std::string> names;
  InvariantChecker checker(RecordSource::kSimulation, {},
                           [&](const Violation& violation) { names.push_back(violation.invariant); });
  for (const Event& event : events) {
    checker.Observe(event);
  }
  return names;
}

std::vector<std::string> Only(std::string_view invariant) { return {std::string(invariant)}; }

TEST_CASE("InvariantChecker: a run that serves a request violates no invariant") {
  CHECK(ViolatedBy(CleanRun()).empty());
}

TEST_CASE("InvariantChecker: an event after the end is a violation") {
  std::vector<Event> events = CleanRun();
  events.push_back({2 * kDeadline, OtherEvent{}});
  CHECK(ViolatedBy(events) == Only(name::kRecordEnd));
}

TEST_CASE("InvariantChecker: a request of an undefined class and a request sent twice are violations") {
  std::vector<Event> events = CleanRun();
  events.insert(events.begin() + 3, {2, RequestSent{2, 0, 7, std::nullopt}});
  CHECK(ViolatedBy(events) == Only(name::kKnownRequest));

  events = CleanRun();
  events.insert(events.begin() + 3, events[2]);
  CHECK(ViolatedBy(events) == Only(name::kKnownRequest));
}

TEST_CASE("InvariantChecker: a second outcome of an attempt is a violation") {
  std::vector<Event> events = CleanRun();
  events.insert(events.begin() + 8, events[7]);
  CHECK(ViolatedBy(events) == Only(name::kOneOutcome));
}

TEST_CASE("InvariantChecker: an attempt accepted by another server is a violation") {
  std::vector<Event> events = CleanRun();
  events[4].body = AttemptAccepted{1, 0, 1, 1000};
  events[5].body = WorkStarted{1, 0, 1};
  events[6].body = WorkFinished{1, 1, 1000};
  CHECK(ViolatedBy(events) == Only(name::kMisdelivered));
}

TEST_CASE("Invariant table: each invariant has a unique name, a promise and a check") {
  std::set<std::string_view> names;
  for (const Invariant& invariant : AllInvariants()) {
    CAPTURE(invariant.name);
    CHECK(names.insert(invariant.name).second);
    CHECK_FALSE(invariant.promise.empty());
    const bool has_check = invariant.check != nullptr;
    CHECK(has_check);
  }
  CHECK(names.size() == 24);
}

}  // namespace
}  // namespace walnutspur::lab::invariants
