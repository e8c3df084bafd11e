// Anti-entropy: compares digests of whole tables with other members, so that updates that were lost arrive
// all the same, and contacts members and configured peers that are not part of the table's live ones. A part
// of a Membership, used on the thread of its caller.
#ifndef WALNUTSPUR_FLEET_MEMBERSHIP_ANTI_ENTROPY_H_
#define WALNUTSPUR_FLEET_MEMBERSHIP_ANTI_ENTROPY_H_

#include <string>
#include <vector>

#include "fleet/membership/membership_state.h"
#include "fleet/membership/message_sender.h"

namespace walnutspur::fleet {

class AntiEntropy {
 public:
  AntiEntropy(MembershipState& state, MessageSender& sender) : state_(state), sender_(sender) {}

  void Start();
  // Answers a digest or a reply to one with the records that differ.
  void OnDigest(const Message& message);

 private:
  void CompareDigests();
  void Reconnect();
  std::vector<std::string> UnreachableAddresses() const;
  void SendRecords(const Message& request, std::vector<Record> records);
  void SendDigest(const std::string& address, MessageKind kind, std::vector<Record> records);

  MembershipState& state_;
  MessageSender& sender_;
};

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_MEMBERSHIP_ANTI_ENTROPY_H_
