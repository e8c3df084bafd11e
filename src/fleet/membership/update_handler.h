// Merges updates of members into the table, by SWIM's rules of precedence: the higher incarnation wins, then
// the later state; facts by their version.
//
// Failures and their guards:
// - Updates of an earlier process of a member, still in circulation, would fail its restarted process.
//   Incarnations begin as the time of the start, so that a restart exceeds all earlier ones without knowing
//   them.
// - A forged or corrupt incarnation near the largest value could never be refuted. Incarnations and start
//   times that lie further in the future than clocks may differ are dropped and counted.
// - Two processes with one name would replace each other in the table again and again. A live member keeps
//   its address; another one is accepted once the member is dead, for which it is probed at once.
// - False updates about this member itself: it refutes them with a higher incarnation.
// - Made-up members would exhaust the memory: the number of live members is bounded.
//
// A component of a Membership, used on the thread of its caller.
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
