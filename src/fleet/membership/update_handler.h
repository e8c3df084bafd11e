// Merges updates of members into the table, by SWIM's rules of precedence: the higher incarnation wins, then
// the later state; facts by their version. A part of a Membership, used on the thread of its caller.
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
