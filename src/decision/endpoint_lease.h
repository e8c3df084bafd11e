// Lease on the endpoint list: the time until which attempts may rely on it.
//
// While a watch works, the list is current and the lease does not expire. Once the watch has ended, a drain
// of which discovery has learned and this instance has not counts as notified a fixed time after discovery
// learned of it. So the last list is good for that time and a drain's grace more; past that no attempt is
// sent to any target until discovery has sent a list. A call that discovery accepted and did not answer says
// nothing: discovery may be up and overloaded. A refused connection shows that discovery is down, so that it
// could notify of no drain meanwhile, and renews the lease.
//
// No I/O, clock, thread or randomness: times are those of the events, us. Owned by the SchedulerState.
#ifndef WALNUTSPUR_DECISION_ENDPOINT_LEASE_H_
#define WALNUTSPUR_DECISION_ENDPOINT_LEASE_H_

#include <limits>

#include "walnutspur/settings.h"

namespace walnutspur::decision {

// The expiry of a lease that has none.
constexpr Time kNever = std::numeric_limits<Time>::max();

class EndpointLease {
 public:
  // `drain_grace` is the settings' time in which sends to a draining target have to stop, us. Where endpoints
  // are pushed, no watch is needed and the lease never expires.
  EndpointLease(DiscoveryMode mode, Time drain_grace);

  // The instance has started, with a cached list at most.
  void OnStarted(Time now);
  // The watch has brought a list or a heartbeat: the list is current, and stays so while the watch works.
  void OnCurrent();
  // The first part of an update has arrived at `at`. What it says counts as notified from then on.
  void OnUpdateStarted(Time at);
  // The watch has ended, or a call for one has failed. `current_until` is the time up to which the watch
  // brought everything: its end, or its last heartbeat if it fell silent.
  void OnFailed(Time now, Time current_until, DiscoveryFailure failure);
  // Another discovery service is called from now on.
  void OnServiceChanged(Time now);

  // Whether attempts may be sent at `now`.
  bool IsValid(Time now) const { return now < expires_at(); }
  // Until when attempts may be sent as far as is known now; kNever while the watch works.
  Time expires_at() const;

 private:
  void OnCallFailed(Time now, DiscoveryFailure failure);
  // Discovery was unreachable at `now`: if it has been ever since the last proof, no drain was notified.
  void Renew(Time now);
  // Makes the lease expire at `at` at the latest.
  void ShortenTo(Time at);
  // End of the drain grace for a drain notified at `at`, less the delay of a write.
  Time DrainGraceEnd(Time at) const;

  bool is_pushed_;
  Time drain_grace_;
  bool is_watching_ = false;
  bool has_list_ = false;        // from this process's own calls
  Time update_started_at_ = -1;  // of an update that is not complete; -1: none
  Time confirmed_until_ = 0;     // up to then no change was notified that this instance has not received
  Time expires_at_ = kNever;     // while no watch works
};

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_ENDPOINT_LEASE_H_
