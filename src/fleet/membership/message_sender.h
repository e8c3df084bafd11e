// Sends messages after adding the sender's identity, the sequence number, the hash of the table and
// piggybacked updates. A component of a Membership, used on its thread.
#ifndef WALNUTSPUR_FLEET_MEMBERSHIP_MESSAGE_SENDER_H_
#define WALNUTSPUR_FLEET_MEMBERSHIP_MESSAGE_SENDER_H_

#include <cstdint>
#include <string>

#include "fleet/membership/membership_state.h"

namespace walnutspur::fleet {

// Selects whether queued updates are appended to a message.
enum class Piggyback : std::uint8_t { kUpdates, kNone };

class MessageSender {
 public:
  explicit MessageSender(MembershipState& state) : state_(state) {}

  void Send(const std::string& address, Message message, Piggyback piggyback = Piggyback::kUpdates);

 private:
  MembershipState& state_;
  std::uint64_t last_sequence_number_ = 0;
};

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_MEMBERSHIP_MESSAGE_SENDER_H_
