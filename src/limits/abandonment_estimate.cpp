#include "limits/abandonment_estimate.h"

namespace walnutspur::limits {
namespace {

// Time in which the weight of a request falls to 1/e.
constexpr Duration kDecayTime = std::chrono::seconds(5);
// Requests assumed to have stayed in each age group beside those counted: a single one says nothing.
constexpr double kPriorStayingRequests = 3;
// An age counts once more than this fraction of clients has disconnected by then.
constexpr double kMaxDisconnectedFraction = 0.5;

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
    const double disconnected = group.disconnected.ValueAt(now, kDecayTime);
    staying *= 1 - disconnected / (kPriorStayingRequests + group.reached.ValueAt(now, kDecayTime));
    if (1 - staying > kMaxDisconnectedFraction) {
      return group.age_sum.ValueAt(now, kDecayTime) / disconnected;
    }
  }
  return 1;
}

}  // namespace walnutspur::limits
