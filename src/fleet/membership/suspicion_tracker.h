// Tracks the running suspicions: the members that confirm each one, and the timeout after which the suspect
// is declared failed.
//
// Failure: a slow member suspects others although they reply in time, and declares them failed before it
// processes their refutations. As in Lifeguard, the timeout is long while a single member reports the
// suspicion, and shortens with each other member that confirms it: several members confirm a real crash
// within a few protocol periods.
//
// A component of a Membership, used on its thread.
#ifndef WALNUTSPUR_FLEET_MEMBERSHIP_SUSPICION_TRACKER_H_
#define WALNUTSPUR_FLEET_MEMBERSHIP_SUSPICION_TRACKER_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

#include "fleet/membership/membership_state.h"

namespace walnutspur::fleet {

class SuspicionTracker {
 public:
  explicit SuspicionTracker(MembershipState& state) : state_(state) {}

  // Counts a confirmation; the first one starts the suspicion. Returns false if `reporter` has already
  // confirmed it or the timeout has already reached its minimum.
  bool Confirm(const std::string& name, const std::string& reporter);
  // Returns the number of members that confirm the suspicion.
  std::size_t confirmations(const std::string& name) const;
  // Returns when the suspicion started; a suspicion of `name` must be running.
  Time started_at(const std::string& name) const { return suspicions_.at(name).started_at; }
  // Starts or restarts the suspicion's timer, with the timeout for its current number of confirmations.
  void StartTimer(const std::string& name, TimerQueue::Callback on_timeout);
  // Ends the suspicion of `name`, if one is running, and cancels its timer.
  void Clear(const std::string& name);
  std::size_t size() const { return suspicions_.size(); }

 private:
  struct Suspicion {
    Time started_at = 0;
    std::set<std::string> confirmed_by;
    std::uint64_t timer = 0;
  };

  Time Timeout(const Suspicion& suspicion) const;

  MembershipState& state_;
  std::unordered_map<std::string, Suspicion> suspicions_;  // by suspect
};

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_MEMBERSHIP_SUSPICION_TRACKER_H_
