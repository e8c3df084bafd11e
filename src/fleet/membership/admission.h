// Decides whether a message is processed. Rejects messages of a sender's earlier process, replayed messages,
// and messages of a second process with this member's name.
//
// Failures and their guards:
// - Delayed or replayed datagrams would restore outdated states. Datagrams of an earlier process are detected
// by
//   its start time, others by their sequence number (ReplayFilter). A higher incarnation resets the sequence
//   number: after datagrams with forged high numbers, a member is accepted again as soon as it has refuted
//   that it failed.
// - Two processes have the same name. The older one replies to messages of the younger one with a conflict,
// and
//   the younger one terminates. An older process that can no longer be reached sends no conflict.
//
// A component of a Membership, used on its thread.
#ifndef WALNUTSPUR_FLEET_MEMBERSHIP_ADMISSION_H_
#define WALNUTSPUR_FLEET_MEMBERSHIP_ADMISSION_H_

#include "fleet/membership/membership_state.h"
#include "fleet/membership/message_sender.h"

namespace walnutspur::fleet {

class Admission {
 public:
  Admission(MembershipState& state, MessageSender& sender) : state_(state), sender_(sender) {}

  // Returns whether the message is to be processed.
  bool Admit(const Message& message);

 private:
  // Handles a message whose sender has this member's name.
  void ResolveNameConflict(const Message& message);

  MembershipState& state_;
  MessageSender& sender_;
};

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_MEMBERSHIP_ADMISSION_H_
