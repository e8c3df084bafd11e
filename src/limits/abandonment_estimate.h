// By what age clients leave, as a part of their class's aim.
//
// Clients may leave long before the time that they told, and work that is done by then earns nothing. Only a
// request that still waits at an age tells whether its client leaves there: what was answered, refused or
// given up sooner tells of younger ages alone. So clients are counted by age, and the part that stays is the
// product of the parts that stay through each age in turn (the product-limit estimate of Kaplan and Meier).
// Counting leavers against all that were ever asked would let a few bursts of leavers refuse everybody: what
// is refused for their sake never lives to tell that it would have stayed. No I/O, clock or thread; owned by
// the Scheduler.
#ifndef WALNUTSPUR_LIMITS_ABANDONMENT_ESTIMATE_H_
#define WALNUTSPUR_LIMITS_ABANDONMENT_ESTIMATE_H_

#include <array>
#include <cstddef>

#include "limits/decaying_counter.h"

namespace walnutspur::limits {

class AbandonmentEstimate {
 public:
  // A request was open up to this age, in parts of its aim; then its client left, or it ended otherwise.
  void Record(double age, bool left, Time now);
  // The part of an aim by which work has to be done.
  double SafeFraction(Time now) const;

 private:
  static constexpr std::size_t kAges = 10;  // even parts of an aim
  struct Age {
    DecayingCounter reached;    // requests that were open there
    DecayingCounter left, sum;  // clients that left there, and the sum of their ages
  };
  std::array<Age, kAges> ages_;
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_ABANDONMENT_ESTIMATE_H_
