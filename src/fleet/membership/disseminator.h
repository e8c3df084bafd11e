// Disseminates updates: queues each one for piggybacking, and gossips it to random members every half
// protocol period until it has been transmitted often enough to reach all members with high probability.
// Anti-entropy repairs updates that are lost nevertheless. A component of a Membership, used on its thread.
#ifndef WALNUTSPUR_FLEET_MEMBERSHIP_DISSEMINATOR_H_
#define WALNUTSPUR_FLEET_MEMBERSHIP_DISSEMINATOR_H_

#include <cstddef>
#include <string>

#include "fleet/membership/message_sender.h"

namespace walnutspur::fleet {

// Members to which a gossip message is sent per half protocol period.
constexpr std::size_t kGossipFanout = 3;

class Disseminator {
 public:
  Disseminator(MembershipState& state, MessageSender& sender) : state_(state), sender_(sender) {}

  // Queues the record of a member, which must be in the table, for transmission.
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
