// Estimates how long clients wait before they disconnect, as a fraction of their class's latency objective.
//
// Clients may disconnect long before the deadline that they announced, and work done after that is wasted.
// Only requests that are still open at an age show whether clients disconnect at that age; requests that
// ended earlier do not. The estimate is therefore the Kaplan-Meier (product-limit) estimate: the fraction of
// clients that stay is the product of the fractions that stay through each age group. If disconnects were
// counted against all requests, a short burst of them would cause every request to be rejected, and rejected
// requests never show that their clients would have stayed. No I/O, clock or thread; owned by the scheduler's
// state.
#ifndef WALNUTSPUR_LIMITS_ABANDONMENT_ESTIMATE_H_
#define WALNUTSPUR_LIMITS_ABANDONMENT_ESTIMATE_H_

#include <array>
#include <cstddef>

#include "limits/decaying_counter.h"

namespace walnutspur::limits {

// Number of equal age groups within a latency objective.
constexpr std::size_t kAgeGroups = 10;

// Class AbandonmentEstimate counts requests by the age at which they ended.
class AbandonmentEstimate {
 public:
  // Records a request that ended at `age` (a fraction of its latency objective). `disconnected` is true if it
  // ended because its client disconnected.
  void Record(double age, bool disconnected, Time now);

  // Returns the fraction of a latency objective within which a request must complete so that most clients are
  // still connected.
  double SafeFraction(Time now) const;

 private:
  struct AgeGroup {
    DecayingCounter reached;       // requests that were still open in this age group
    DecayingCounter disconnected;  // clients that disconnected in this age group
    DecayingCounter age_sum;       // sum of the ages at which those clients disconnected
  };
  std::array<AgeGroup, kAgeGroups> groups_;
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_ABANDONMENT_ESTIMATE_H_
