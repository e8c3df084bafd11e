// Tests the failure probability of targets, including targets that an instance seldom uses.
#include "routing/outlier_detection.h"

#include <doctest/doctest.h>

namespace walnutspur::routing {
namespace {

constexpr Time kSecond = 1'000'000;
constexpr Time kNow = 1000 * kSecond;
constexpr int kZone = 1;
constexpr int kOtherZone = 2;

// Records an outcome `times` times in a zone, for a separate target, so that only the zone's counts change.
void RecordInZone(OutlierDetection& outliers, int times, Outcome outcome, int zone, Time now) {
  OutcomeHistory other_target;
  for (int i = 0; i < times; ++i) {
    outliers.Record(outcome, zone, now, other_target);
  }
}

}  // namespace

TEST_CASE("OutlierDetection: a target's failures raise its failure probability, which decays with time") {
  OutlierDetection outliers;
  OutcomeHistory target;
  CHECK(outliers.FailureProbability(target, kZone, kNow) == 0);
  for (int i = 0; i < 3; ++i) {
    target.Record(true, kNow);
  }
  RecordInZone(outliers, 3, Outcome::kCompleted, kZone, kNow);
  CHECK(outliers.FailureProbability(target, kZone, kNow) > 0.7);
  CHECK(outliers.FailureProbability(target, kZone, kNow + 20 * kSecond) < 0.1);
  for (int i = 0; i < 2; ++i) {
    target.Record(false, kNow + kSecond);
  }
  CHECK(outliers.FailureProbability(target, kZone, kNow + kSecond) < 0.6);
}

TEST_CASE(
    "OutlierDetection: several time-outs in a zone raise an unused target's probability, one hardly does") {
  OutlierDetection outliers;
  const OutcomeHistory unused;
  RecordInZone(outliers, 10, Outcome::kCompleted, kZone, kNow);
  RecordInZone(outliers, 10, Outcome::kCompleted, kOtherZone, kNow);
  RecordInZone(outliers, 1, Outcome::kTimedOut, kZone, kNow + kSecond);
  CHECK(outliers.FailureProbability(unused, kZone, kNow + kSecond) < 0.15);
  RecordInZone(outliers, 10, Outcome::kTimedOut, kZone, kNow + 3 * kSecond);
  RecordInZone(outliers, 10, Outcome::kCompleted, kOtherZone, kNow + 3 * kSecond);
  CHECK(outliers.FailureProbability(unused, kZone, kNow + 3 * kSecond) > 0.4);
  CHECK(outliers.FailureProbability(unused, kOtherZone, kNow + 3 * kSecond) == 0);
}

TEST_CASE("OutlierDetection: an outcome counts in the histories of the target and of its zone") {
  OutlierDetection outliers;
  OutcomeHistory target;
  const OutcomeHistory unused;
  const auto target_failure_probability = [&] { return target.FailureProbability(0, 1, kNow); };
  outliers.Record(Outcome::kOverloaded, kZone, kNow, target);
  CHECK(target_failure_probability() == 0);
  outliers.Record(Outcome::kErrored, kZone, kNow,
                  target);  // counts as a failure of the target, but the zone responds
  CHECK(target_failure_probability() == 0.5);
  CHECK(outliers.FailureProbability(unused, kZone, kNow) == 0);
  outliers.Record(Outcome::kTimedOut, kZone, kNow, target);
  CHECK(outliers.FailureProbability(unused, kZone, kNow) == doctest::Approx(1.0 / 6));
}

}  // namespace walnutspur::routing
