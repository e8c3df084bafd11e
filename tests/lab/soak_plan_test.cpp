// Tests the plans of the soak: those that are named by their seeds do not change, and extended ones add to
// them.
#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>

#include "lab/soak/plan.h"

namespace walnutspur::lab::soak {
namespace {

// Returns the FNV-1a hash of a text.
std::uint64_t HashOf(const std::string& text) {
  std::uint64_t hash = 14695981039346656037U;
  for (const char character : text) {
    hash = (hash ^ static_cast<unsigned char>(character)) * 1099511628211U;
  }
  return hash;
}

bool IsExtendedKind(const FaultEvent& event) { return event.kind >= FaultEventKind::kCrowd; }

TEST_CASE("DrawPlan: the plans of seeds 1 to 8 are those that records of failures name") {
  std::string text;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    text += Describe(DrawPlan(seed));
  }
  CHECK(HashOf(text) == 5584003144282972133U);
}

TEST_CASE("DrawExtendedPlan: adds crowds and signals in series to the plan of the same seed") {
  std::set<FaultEventKind> kinds;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    const SoakPlan plan = DrawExtendedPlan(seed);
    SoakPlan base = plan;
    std::erase_if(base.events, IsExtendedKind);
    CHECK(Describe(base) == Describe(DrawPlan(seed)));
    CHECK(std::is_sorted(plan.events.begin(), plan.events.end(),
                         [](const FaultEvent& one, const FaultEvent& other) { return one.at < other.at; }));
    for (const FaultEvent& event : plan.events) {
      kinds.insert(event.kind);
    }
  }
  CHECK(kinds.size() == kFaultEventKinds);
}

}  // namespace
}  // namespace walnutspur::lab::soak
