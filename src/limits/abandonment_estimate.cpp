#include "limits/abandonment_estimate.h"

namespace walnutspur::limits {
namespace {

// Time in which the weight of a request falls to 1/e.
constexpr Duration kDecayTime = std::chrono::seconds(5);
// Requests that are assumed to have stayed through each age group, in addition to those counted. A single
// disconnect among few requests must not dominate the estimate.
constexpr double kPriorStayingRequests = 3;
// SafeFraction ends at the first age group by which more than this fraction of clients has disconnected.
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
