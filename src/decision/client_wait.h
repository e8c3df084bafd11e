// Client wait: for which fraction of a latency objective clients wait for their responses at present.
//
// The estimate is brought up to date at each timer, so that all decisions between two timers agree. Owned by
// the SchedulerState, used on its thread.
#ifndef WALNUTSPUR_DECISION_CLIENT_WAIT_H_
#define WALNUTSPUR_DECISION_CLIENT_WAIT_H_

#include "decision/request.h"
#include "limits/abandonment_estimate.h"

namespace walnutspur::decision {

class ClientWait {
 public:
  // Counts how long the client of a request that ends at `now` has waited, before it `disconnected` or the
  // request ended otherwise. `objective` is the latency objective of the request's class, us.
  void OnRequestEnded(const RequestState& request, Time objective, bool disconnected, Time now);

  // Brings the fraction up to date.
  void Update(Time now) { fraction_ = abandonment_.SafeFraction(now); }

  // Fraction of a latency objective that clients wait, as of the last update.
  double fraction() const { return fraction_; }

 private:
  limits::AbandonmentEstimate abandonment_;
  double fraction_ = 1;
};

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_CLIENT_WAIT_H_
