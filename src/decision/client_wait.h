// Client wait: an estimate of how long clients wait for their responses, as a fraction of the latency
// objective.
//
// The estimate is updated at each timer, so that all decisions between two timers use the same value. Owned
// by the SchedulerState, used on the scheduler thread.
#ifndef WALNUTSPUR_DECISION_CLIENT_WAIT_H_
#define WALNUTSPUR_DECISION_CLIENT_WAIT_H_

#include "decision/request.h"
#include "limits/abandonment_estimate.h"

namespace walnutspur::decision {

class ClientWait {
 public:
  // Records how long the client of a request that ends at `now` has waited. `disconnected` states whether the
  // request ended since its client disconnected. `objective` is the latency objective of its class, us.
  void OnRequestEnded(const RequestState& request, Time objective, bool disconnected, Time now);

  // Updates the fraction.
  void Update(Time now) { fraction_ = abandonment_.SafeFraction(now); }

  // Returns the fraction of a latency objective that clients wait, as of the last update.
  double fraction() const { return fraction_; }

 private:
  limits::AbandonmentEstimate abandonment_;
  double fraction_ = 1;
};

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_CLIENT_WAIT_H_
