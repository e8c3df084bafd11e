#include "limits/abandonment_estimate.h"

namespace walnutspur::limits {
namespace {

constexpr double kDecayTime = 5e6;     // us over which requests are counted
constexpr double kAssumedStaying = 3;  // requests taken to have stayed in each group: one alone says nothing
constexpr double kMostDisconnected =
    0.5;  // part of the clients that must have disconnected for an age to count

}  // namespace

void AbandonmentEstimate::Record(double age, bool disconnected, Time now) {
  const double position = age * kAgeGroups;
  for (std::size_t i = 0; i < kAgeGroups && static_cast<double>(i) <= position; ++i) {
    AgeGroup& group = groups_[i];
    group.reached.Add(1, now, kDecayTime);
    if (disconnected && position < static_cast<double>(i + 1)) {
      group.disconnected.Add(1, now, kDecayTime);
      group.age_sum.Add(age, now, kDecayTime);
    }
  }
}

double AbandonmentEstimate::SafeFraction(Time now) const {
  double staying = 1;
  for (const AgeGroup& group : groups_) {
    const double disconnected = group.disconnected.Now(now, kDecayTime);
    staying *= 1 - disconnected / (kAssumedStaying + group.reached.Now(now, kDecayTime));
    if (1 - staying > kMostDisconnected) {
      return group.age_sum.Now(now, kDecayTime) / disconnected;
    }
  }
  return 1;
}

}  // namespace walnutspur::limits
