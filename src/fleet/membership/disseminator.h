// Disseminates updates: each is queued for piggybacking, and sent to random members every half period until
// it has been transmitted often enough to reach all with high probability. Lost updates are left to
// anti-entropy. A component of a Membership, used on the thread of its caller.
#ifndef WALNUTSPUR_FLEET_MEMBERSHIP_DISSEMINATOR_H_
#define WALNUTSPUR_FLEET_MEMBERSHIP_DISSEMINATOR_H_

#include <cstddef>
#include <string>

#include "fleet/membership/message_sender.h"

namespace walnutspur::fleet {

// Members that a gossip message is sent to per half period.
constexpr std::size_t kGossipFanout = 3;

class Disseminator {
 public:
  Disseminator(MembershipState& state, MessageSender& sender) : state_(state), sender_(sender) {}

  // `name` has to be in the table.
  void Broadcast(const std::string& name);

 private:
  void ScheduleGossip();
  void Gossip();

  MembershipState& state_;
  MessageSender& sender_;
  bool gossip_scheduled_ = false;
};

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_MEMBERSHIP_DISSEMINATOR_H_
