// What a host believes of a box it seldom meets.
#include "routing/outcome_history.h"

#include <doctest/doctest.h>

namespace walnutspur::routing {

constexpr Time kSecond = 1'000'000, kNow = 1000 * kSecond;

TEST_CASE("a box that fails is believed to fail, and after a while to be like any other") {
  Record box, zone;
  CHECK(Risk(box, zone, kNow) == 0);
  for (int i = 0; i < 3; ++i) box.Note(true, kNow), zone.Note(false, kNow);
  CHECK(Risk(box, zone, kNow) > 0.7);
  CHECK(Risk(box, zone, kNow + 20 * kSecond) < 0.1);
  for (int i = 0; i < 2; ++i) box.Note(false, kNow + kSecond);
  CHECK(Risk(box, zone, kNow + kSecond) < 0.6);
}

TEST_CASE("silence at several boxes of a zone counts for one that has not been tried, a single one hardly") {
  Record untried, zone, other;
  for (int i = 0; i < 10; ++i) zone.Note(false, kNow), other.Note(false, kNow);
  zone.Note(true, kNow + kSecond);
  CHECK(Risk(untried, zone, kNow + kSecond) < 0.15);
  for (int i = 0; i < 10; ++i) zone.Note(true, kNow + 3 * kSecond), other.Note(false, kNow + 3 * kSecond);
  CHECK(Risk(untried, zone, kNow + 3 * kSecond) > 0.4);
  CHECK(Risk(untried, other, kNow + 3 * kSecond) == 0);
}

}  // namespace walnutspur::routing
