// Maintains one member's table of all members of the fleet, by SWIM with Lifeguard's extensions and
// anti-entropy.
//
// SWIM (Das, Gupta, Motivala 2002): in each protocol period a member probes one other member, and requests
// indirect probes if no ack arrives. A member without an ack becomes suspect, and is declared failed if it
// does not refute the suspicion before its timeout; updates are piggybacked on the messages. Lifeguard
// (Dadgar, Phillips, Currey 2018): a member that detects that it is slow itself uses longer timeouts, each
// further member that confirms a suspicion shortens its timeout, and messages to a suspect carry the
// suspicion first. In addition, members compare digests of their tables once a second, which repairs lost
// updates.
//
// A Membership does no I/O and has no clock, thread or random generator of its own: messages, times and
// random numbers are passed in, actions are returned. Owned by a GossipTransport or a simulated cluster and
// used on the owner's thread. Times are microseconds of Unix time. Invalid messages are counted and ignored;
// no function throws.
#ifndef WALNUTSPUR_FLEET_MEMBERSHIP_MEMBERSHIP_H_
#define WALNUTSPUR_FLEET_MEMBERSHIP_MEMBERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "fleet/membership/actions.h"
#include "fleet/membership/admission.h"
#include "fleet/membership/anti_entropy.h"
#include "fleet/membership/disseminator.h"
#include "fleet/membership/failure_detector.h"
#include "fleet/membership/member_lifecycle.h"
#include "fleet/membership/membership_state.h"
#include "fleet/membership/message_sender.h"
#include "fleet/membership/update_handler.h"

namespace walnutspur::fleet {

class Membership {
 public:
  // `draw` returns random numbers, uniform over [0, 1).
  Membership(MembershipOptions options, std::function<double()> draw);

  // Each of the following functions returns the actions that the caller must execute now, in the given order.
  std::vector<Action> Start(Time now);
  std::vector<Action> HandleMessage(const Message& message, Time now);
  std::vector<Action> HandleTimer(std::uint64_t id, Time now);
  // Publishes this member's facts; Publish sets their version, start time and building itself. A change of
  // phase is broadcast immediately, other changes at most every five seconds, and less often in large fleets.
  std::vector<Action> Publish(Facts facts, Time now);
  // Announces that this member leaves. The process may exit as soon as the actions are executed.
  std::vector<Action> Leave(Time now);

  const std::map<std::string, MemberEntry>& members() const { return state_.table.entries(); }
  const Record& self() const { return state_.table.self(); }
  // Returns the number of members that are alive or suspect, including this member.
  int live_count() const { return state_.table.live_count(); }
  int suspect_count() const { return state_.table.suspect_count(); }
  // Returns this member's share of the load of all live members, between 0 and 1.
  double LoadShare() const { return state_.table.LoadShare(); }
  // Returns whether no member is suspect and all members are known to have the same table.
  bool converged() const { return converged_; }
  // Returns the hash of all live members' records, which is equal on members with the same table.
  std::uint64_t hash() const { return state_.table.hash(); }
  const MembershipCounters& counters() const { return state_.counters; }
  // Returns Lifeguard's local health score; 0 means healthy.
  int health_score() const { return state_.health.score(); }
  // Returns the number of entries in all containers, for tests of memory bounds.
  std::size_t EntryCount() const;

 private:
  void JoinAlone();
  void MarkJoined();
  void Dispatch(const Message& message);
  void UpdateConvergence();
  std::vector<Action> TakeActions() { return std::exchange(state_.actions, {}); }

  MembershipState state_;
  MessageSender sender_;
  Disseminator disseminator_;
  MemberLifecycle lifecycle_;
  UpdateHandler updates_;
  FailureDetector detector_;
  AntiEntropy anti_entropy_;
  Admission admission_;
  bool converged_ = false;
  Time published_at_ = 0;
};

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_MEMBERSHIP_MEMBERSHIP_H_
