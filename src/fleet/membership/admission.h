// Decides whether a message is processed. Rejects datagrams of a sender's earlier process, replayed ones, and
// those of a second process under this member's name. A part of a Membership, used on the thread of its
// caller.
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
