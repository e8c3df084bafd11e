// Which members the fleet has: each member's own table of them, maintained by SWIM with Lifeguard's
// extensions and anti-entropy.
//
// SWIM (Das, Gupta, Motivala 2002): each period one member is probed, indirectly if it does not answer; one
// that does not answer at all is suspect, and has failed if it does not refute that in time; updates are
// piggybacked on the messages. Lifeguard (Dadgar, Phillips, Currey 2018): a member that notices that it is
// slow itself waits longer, a suspicion's timeout shortens with each further member that confirms it, and a
// suspect is notified first. Digests of the tables are compared once a second, so that a lost update arrives
// nevertheless.
//
// No I/O, clock, thread or randomness of its own: messages, times and random numbers are passed in, actions
// are returned. Owned by GossipTransport, or by a simulated cluster, which calls it from one thread. Times
// are microseconds of Unix time. Errors: messages that are not valid are counted and ignored; nothing is
// thrown.
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

  // Each of these returns the actions that the caller has to execute now, in this order.
  std::vector<Action> Start(Time now);
  std::vector<Action> HandleMessage(const Message& message, Time now);
  std::vector<Action> HandleTimer(std::uint64_t id, Time now);
  // Publishes this member's facts; their version, start and building are filled in here. A change of phase is
  // broadcast at once, others at most every five seconds, and less often in large fleets.
  std::vector<Action> Publish(Facts facts, Time now);
  // Announces that this member leaves; the process may terminate right after the actions.
  std::vector<Action> Leave(Time now);

  const std::map<std::string, MemberEntry>& members() const { return state_.table.entries(); }
  const Record& self() const { return state_.table.self(); }
  // This member and those that are alive or suspect.
  int live_count() const { return state_.table.live_count(); }
  int suspect_count() const { return state_.table.suspect_count(); }
  // This member's share of the load of all live members, between 0 and 1.
  double LoadShare() const { return state_.table.LoadShare(); }
  // Whether no member is suspect and all members are known to have the same table.
  bool converged() const { return converged_; }
  // Of the live members: equal on members with the same table.
  std::uint64_t hash() const { return state_.table.hash(); }
  const MembershipCounters& counters() const { return state_.counters; }
  // Lifeguard's local health; 0: healthy.
  int health_score() const { return state_.health.score(); }
  // Entries of all containers, for tests of memory bounds.
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
