// Running suspicions: the members that confirm each, and its timeout, after which the suspect is declared
// failed.
//
// Failure: a slow member suspects others although they answer in time, and declares them failed before their
// refutations arrive. By Lifeguard the timeout is long while a single member reports the suspicion, and
// shortens with each other member that confirms it: a real crash is confirmed by several within a few
// periods.
//
// A component of a Membership, used on the thread of its caller.
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

  // Counts a confirmation, the first of which starts the suspicion. False: `reporter` has confirmed it
  // before, or the timeout is at its minimum already.
  bool Confirm(const std::string& name, const std::string& reporter);
  // Number of members that confirm the suspicion.
  std::size_t confirmations(const std::string& name) const;
  // When the suspicion started; only while there is one.
  Time started_at(const std::string& name) const { return suspicions_.at(name).started_at; }
  // Starts or replaces the suspicion's timer, by its current confirmations.
  void StartTimer(const std::string& name, TimerQueue::Callback on_timeout);
  // Ends a suspicion and its timer, if there is one.
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
