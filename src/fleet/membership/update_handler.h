// Merges updates about members into the table by SWIM's rules of precedence: the higher incarnation overrides
// the lower one, then the later state the earlier one; the higher version of facts overrides the lower one.
//
// Failures and their guards:
// - Updates about an earlier process of a member, still in circulation, would fail its restarted process. The
//   initial incarnation is the start time of the process, so that a restarted process exceeds all earlier
//   incarnations without having stored them.
// - A forged or corrupt incarnation near the maximum value could never be refuted. Updates whose incarnation
// or
//   start time lies further in the future than clocks may differ are dropped and counted.
// - Two processes with the same name would replace each other in the table repeatedly. A live member keeps
// its
//   address; a different address is accepted once the member is dead, so the member is probed out of turn.
// - Other members receive false updates about this member. It refutes them with a higher incarnation.
// - Forged members would exhaust the memory. The number of live members is bounded.
//
// A component of a Membership, used on its thread.
#ifndef WALNUTSPUR_FLEET_MEMBERSHIP_UPDATE_HANDLER_H_
#define WALNUTSPUR_FLEET_MEMBERSHIP_UPDATE_HANDLER_H_

#include "fleet/membership/member_lifecycle.h"
#include "fleet/membership/membership_state.h"
#include "fleet/membership/message_sender.h"

namespace walnutspur::fleet {

class UpdateHandler {
 public:
  UpdateHandler(MembershipState& state, MessageSender& sender, MemberLifecycle& lifecycle)
      : state_(state), sender_(sender), lifecycle_(lifecycle) {}

  void ApplyUpdate(const Record& update);

 private:
  bool IsForged(const Record& update) const;
  void AddMember(const Record& update);
  void MergeSameIncarnation(const Record& known, const Record& update);
  void ReplaceIncarnation(const Record& known, const Record& update);
  void ApplyUpdateOfSelf(const Record& update);

  MembershipState& state_;
  MessageSender& sender_;
  MemberLifecycle& lifecycle_;
};

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_MEMBERSHIP_UPDATE_HANDLER_H_
