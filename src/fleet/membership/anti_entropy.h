// Implements anti-entropy: compares digests of the complete table with other members, and contacts failed
// members and configured peers that are not live in the table.
//
// Failures and their guards:
// - An update is transmitted a limited number of times, and all of its datagrams may be lost. The tables of
//   two members would then differ permanently, without any visible error. Comparing digests detects any
//   difference, and the members exchange the records of the differing buckets.
// - After a partition the members of each side are failed in the tables of the other, and failed members are
//   not probed. Each second a digest is sent to one of them or to a configured peer; the reply reconnects the
//   two sides.
//
// A component of a Membership, used on its thread.
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

  // Starts the timers of comparing digests and of reconnecting. Must be called once.
  void Start();
  // Replies to a digest, or to a reply to one, with the records of the buckets that differ.
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
