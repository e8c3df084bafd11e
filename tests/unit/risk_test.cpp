// What a host believes of a box it seldom meets.
#include <doctest/doctest.h>

#include "routing/outcome_history.h"

namespace walnutspur::routing {

constexpr Time kSecond = 1'000'000, kNow = 1000 * kSecond;

TEST_CASE("a box that fails is believed to fail, and after a while to be like any other") {
  OutcomeHistory box, zone;
  CHECK(FailureProbability(box, zone, kNow) == 0);
  for (int i = 0; i < 3; ++i) box.Record(true, kNow), zone.Record(false, kNow);
  CHECK(FailureProbability(box, zone, kNow) > 0.7);
  CHECK(FailureProbability(box, zone, kNow + 20 * kSecond) < 0.1);
  for (int i = 0; i < 2; ++i) box.Record(false, kNow + kSecond);
  CHECK(FailureProbability(box, zone, kNow + kSecond) < 0.6);
}

TEST_CASE("silence at several boxes of a zone counts for one that has not been tried, a single one hardly") {
  OutcomeHistory untried, zone, other;
  for (int i = 0; i < 10; ++i) zone.Record(false, kNow), other.Record(false, kNow);
  zone.Record(true, kNow + kSecond);
  CHECK(FailureProbability(untried, zone, kNow + kSecond) < 0.15);
  for (int i = 0; i < 10; ++i) zone.Record(true, kNow + 3 * kSecond), other.Record(false, kNow + 3 * kSecond);
  CHECK(FailureProbability(untried, zone, kNow + 3 * kSecond) > 0.4);
  CHECK(FailureProbability(untried, other, kNow + 3 * kSecond) == 0);
}

}  // namespace walnutspur::routing
