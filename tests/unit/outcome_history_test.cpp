// Failure probability of targets that an instance seldom uses.
#include "routing/outcome_history.h"

#include <doctest/doctest.h>

namespace walnutspur::routing {
namespace {

constexpr Time kSecond = 1'000'000;
constexpr Time kNow = 1000 * kSecond;

void RecordTimes(OutcomeHistory& history, int times, bool failed, Time now) {
  for (int i = 0; i < times; ++i) {
    history.Record(failed, now);
  }
}

}  // namespace

TEST_CASE("a target that fails is expected to fail, and after a while to be like any other") {
  OutcomeHistory target;
  OutcomeHistory zone;
  CHECK(FailureProbability(target, zone, kNow) == 0);
  RecordTimes(target, 3, true, kNow);
  RecordTimes(zone, 3, false, kNow);
  CHECK(FailureProbability(target, zone, kNow) > 0.7);
  CHECK(FailureProbability(target, zone, kNow + 20 * kSecond) < 0.1);
  RecordTimes(target, 2, false, kNow + kSecond);
  CHECK(FailureProbability(target, zone, kNow + kSecond) < 0.6);
}

TEST_CASE("silence at several targets of a zone counts for an unused one, at a single target hardly") {
  OutcomeHistory unused;
  OutcomeHistory zone;
  OutcomeHistory other;
  RecordTimes(zone, 10, false, kNow);
  RecordTimes(other, 10, false, kNow);
  zone.Record(true, kNow + kSecond);
  CHECK(FailureProbability(unused, zone, kNow + kSecond) < 0.15);
  RecordTimes(zone, 10, true, kNow + 3 * kSecond);
  RecordTimes(other, 10, false, kNow + 3 * kSecond);
  CHECK(FailureProbability(unused, zone, kNow + 3 * kSecond) > 0.4);
  CHECK(FailureProbability(unused, other, kNow + 3 * kSecond) == 0);
}

}  // namespace walnutspur::routing
