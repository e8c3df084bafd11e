// Endpoint lease: the time until which attempts may be sent on the basis of the endpoint list.
//
// While a watch works, the list is current and the lease does not expire. After the watch has ended, a drain
// that is known to discovery but not to this instance counts as notified a fixed time after discovery learned
// of it. The last list is therefore valid for that time plus the drain grace; after that, no attempt is sent
// to any target until discovery has sent a list. A call that discovery accepts without sending a response
// does not renew the lease: discovery may be running and overloaded. A refused connection shows that
// discovery is down and cannot have notified a drain in the meantime, so it renews the lease.
//
// Uses no I/O, clock, thread or randomness: times are those of the events, us. Owned by the SchedulerState.
#ifndef WALNUTSPUR_DECISION_ENDPOINT_LEASE_H_
#define WALNUTSPUR_DECISION_ENDPOINT_LEASE_H_

#include <limits>

#include "walnutspur/settings.h"

namespace walnutspur::decision {

// The expiry of a lease that does not expire.
constexpr Time kNever = std::numeric_limits<Time>::max();

class EndpointLease {
 public:
  // `drain_grace` is the time from the settings within which sends to a draining target must stop, us. If
  // endpoint updates are pushed, no watch is needed and the lease never expires.
  EndpointLease(DiscoveryMode mode, Time drain_grace);

  // Handles the start of the instance, which has a cached list or none.
  void OnStarted(Time now);
  // Handles a list or a heartbeat received on the watch: the list is current while the watch works.
  void OnListConfirmed();
  // Handles the first part of an update, received at `at`. Its content counts as notified from then on.
  void OnUpdateStarted(Time at);
  // Handles the end of the watch, or a failed call for one. `current_until` is the time up to which the watch
  // has delivered every change: its end, or its last heartbeat if it fell silent.
  void OnFailed(Time now, Time current_until, DiscoveryFailure failure);
  // Handles a change to another discovery service.
  void OnServiceChanged(Time now);

  // Returns whether attempts may be sent at `now`.
  bool IsValid(Time now) const { return now < expires_at(); }
  // Returns the time until which attempts may be sent as far as is known now; kNever while the watch works.
  Time expires_at() const;

 private:
  void OnCallFailed(Time now, DiscoveryFailure failure);
  // Renews the lease after discovery was unreachable at `now`, if it has been unreachable since
  // confirmed_until_: no drain was notified in that time.
  void Renew(Time now);
  // Makes the lease expire no later than `at`.
  void ShortenTo(Time at);
  // Returns the end of the drain grace for a drain notified at `at`, minus the maximum delay of a write.
  Time DrainGraceEnd(Time at) const;

  bool is_pushed_;
  Time drain_grace_;
  bool is_watching_ = false;
  bool has_list_ = false;        // received by this process, not from the cache
  Time update_started_at_ = -1;  // start of an update that is not complete; -1: none
  Time confirmed_until_ = 0;     // every change notified up to then was received by this instance
  Time expires_at_ = kNever;     // used while no watch works
};

}  // namespace walnutspur::decision

#endif  // WALNUTSPUR_DECISION_ENDPOINT_LEASE_H_
