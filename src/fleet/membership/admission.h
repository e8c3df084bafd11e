// Decides whether a message is processed. Rejects datagrams of a sender's earlier process, replayed ones, and
// those of a second process under this member's name.
//
// Failures and their guards:
// - Delayed or replayed datagrams would restore outdated states. Those of an earlier process are recognized
//   by its start time, others by their number (ReplayFilter). A higher incarnation resets the numbers: after
//   datagrams with forged high numbers, a member is accepted again as soon as it has refuted that it failed.
// - Two processes with one name: the older one answers messages of the younger one with a conflict, upon
//   which the younger one terminates. An older one that is no longer reachable does not answer.
//
// A component of a Membership, used on the thread of its caller.
#ifndef WALNUTSPUR_FLEET_MEMBERSHIP_ADMISSION_H_
#define WALNUTSPUR_FLEET_MEMBERSHIP_ADMISSION_H_

#include "fleet/membership/membership_state.h"
#include "fleet/membership/message_sender.h"

namespace walnutspur::fleet {

class Admission {
 public:
  Admission(MembershipState& state, MessageSender& sender) : state_(state), sender_(sender) {}

  bool Admit(const Message& message);

 private:
  // A message that bears this member's own name.
  void ResolveNameConflict(const Message& message);

  MembershipState& state_;
  MessageSender& sender_;
};

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_MEMBERSHIP_ADMISSION_H_
