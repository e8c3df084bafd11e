// Client abandonment estimate: how long clients wait, as a fraction of their class's latency objective.
//
// Clients may disconnect long before the time that they announced, and work done after that is wasted.
// Whether clients disconnect at an age shows only in requests still open at that age; what ended before says
// nothing of it. So the estimate is the product-limit estimate of Kaplan and Meier: the fraction of clients
// that stay is the product of the fractions that stay through each age in turn. To count disconnects against
// all requests would let short bursts of them reject every request: what is rejected for their sake could
// never show that it would have stayed. No I/O, clock or thread; owned by the scheduler's state.
#ifndef WALNUTSPUR_LIMITS_ABANDONMENT_ESTIMATE_H_
#define WALNUTSPUR_LIMITS_ABANDONMENT_ESTIMATE_H_

#include <array>
#include <cstddef>

#include "limits/decaying_counter.h"

namespace walnutspur::limits {

// Number of equal age groups within a latency objective.
constexpr std::size_t kAgeGroups = 10;

// Counts of requests by the age at which they ended.
class AbandonmentEstimate {
 public:
  // Records a request that was open up to `age` (fraction of its objective), when its client disconnected or
  // the request ended otherwise.
  void Record(double age, bool disconnected, Time now);

  // Fraction of a latency objective by which work has to be done for most clients to be still there.
  double SafeFraction(Time now) const;

 private:
  struct AgeGroup {
    DecayingCounter reached;       // requests that were open in the group
    DecayingCounter disconnected;  // clients that disconnected in it
    DecayingCounter age_sum;       // sum of the ages of those
  };
  std::array<AgeGroup, kAgeGroups> groups_;
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_ABANDONMENT_ESTIMATE_H_
