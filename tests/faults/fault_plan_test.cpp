// Tests the parser of the fault shim's plans.
//
// If a plan were parsed incorrectly, no fault would be injected and the tests of system calls would pass
// without testing anything. The tests check each part of a parsed plan, and that a malformed plan is
// rejected.
#include "lab/fault_shim/fault_plan.h"

#include <doctest/doctest.h>

#include <cerrno>

namespace walnutspur::test {

TEST_CASE("ParseFaultPlan: a valid plan yields its calls, times, effects and probabilities") {
  const auto plan =
      lab::ParseFaultPlan("clock@2000=-10000;accept4@1000-1400=ENFILE/0.5;writev@0=short;socket@5=delay150");
  REQUIRE(plan);
  REQUIRE(plan->size() == 4);
  CHECK(plan->at(0).kind == lab::SystemFaultKind::kClockStep);
  CHECK(plan->at(0).amount_ms == -10'000);
  CHECK_FALSE(plan->at(0).IsActive(1'999));
  CHECK(plan->at(0).IsActive(1'000'000));
  CHECK(plan->at(1).error == ENFILE);
  CHECK(plan->at(1).probability == 0.5);
  CHECK(plan->at(1).IsActive(1'399));
  CHECK_FALSE(plan->at(1).IsActive(1'400));
  CHECK(plan->at(2).kind == lab::SystemFaultKind::kShort);
  CHECK(plan->at(3).kind == lab::SystemFaultKind::kDelay);
  CHECK(plan->at(3).amount_ms == 150);
  CHECK(lab::ParseFaultPlan("")->empty());
}

TEST_CASE("ParseFaultPlan: a malformed plan is rejected") {
  for (const char* text : {"clock", "@1=EIO", "accept4@x=EIO", "accept4@1=EWRONG", "accept4@1=EIO/2",
                           "accept4@1-x=EIO", "clock@1=EIO", "writev@1=delay", "accept4@1=EIO;;x"}) {
    CHECK_MESSAGE(!lab::ParseFaultPlan(text), text);
  }
}

}  // namespace walnutspur::test
