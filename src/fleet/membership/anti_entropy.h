// Anti-entropy: compares digests of the complete table with other members, and contacts members and
// configured peers that are not live in the table.
//
// Failures and their guards:
// - An update is transmitted a limited number of times, and all of its datagrams may be lost. The tables of
//   two members then differ for good, and nothing fails visibly. Comparing digests detects any difference,
//   and the records of the differing buckets are exchanged.
// - After a partition the members of each side are failed in the tables of the other, and failed members are
//   not probed. Each second one of them, or a configured peer, gets a digest: its reply reconnects the two
//   sides.
//
// A component of a Membership, used on the thread of its caller.
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

  // Starts both timers. Called once.
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
