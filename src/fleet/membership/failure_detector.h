// Implements SWIM's failure detector: in each protocol period this member probes one other member, requests
// indirect probes by further members if the ack does not arrive in time, and suspects the target if none of
// the probes is acknowledged. Also relays the probes of other members.
//
// Failures and their guards:
// - The link between two members is broken and both suspect each other although all others reach them.
//   Indirect probes by other members use other links.
// - This process was stopped or got no processor time: its probes time out although the acks have arrived. A
//   probe that ends late, or soon after a stall, does not make its target suspect but worsens this member's
//   local health.
// - This member is partitioned from all others and would suspect all of them. Relays reply with a nack if the
//   target does not acknowledge their ping; missing nacks worsen the local health, which lengthens the
//   timeouts.
//
// A component of a Membership, used on its thread.
#ifndef WALNUTSPUR_FLEET_MEMBERSHIP_FAILURE_DETECTOR_H_
#define WALNUTSPUR_FLEET_MEMBERSHIP_FAILURE_DETECTOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "fleet/membership/member_lifecycle.h"
#include "fleet/membership/membership_state.h"
#include "fleet/membership/message_sender.h"

namespace walnutspur::fleet {

class FailureDetector {
 public:
  FailureDetector(MembershipState& state, MessageSender& sender, MemberLifecycle& lifecycle)
      : state_(state), sender_(sender), lifecycle_(lifecycle) {}

  // Starts probing after a random fraction of a period, so that members that start at the same time do not
  // probe at the same time. Must be called once.
  void Start();
  void OnPing(const Message& message);
  void OnPingRequest(const Message& message);
  void OnAck(const Message& message);
  void OnNack(const Message& message);
  // Returns the number of probes in flight, this member's own and relayed ones.
  std::size_t size() const { return probes_.size() + relays_.size(); }

 private:
  struct Probe {
    std::string target;
    bool acked = false;
    int relays = 0;  // members requested to probe the target
    int nacks = 0;   // nacks received from relays
  };
  struct Relay {
    std::string requester_address;
    std::uint64_t requester_probe = 0;  // the requester's id of the probe
    std::string target;
  };

  void ProbeNext();
  void StartProbe(const std::string& target);
  void SendPing(const std::string& address, const std::string& target, std::uint64_t probe);
  void RequestIndirectProbes(std::uint64_t id);
  void FinishProbe(std::uint64_t id, Time lateness);
  void FinishRelay(std::uint64_t id, Time lateness);
  void Reply(const Relay& relay, MessageKind kind);
  Probe* FindProbe(const Message& message);

  MembershipState& state_;
  MessageSender& sender_;
  MemberLifecycle& lifecycle_;
  std::uint64_t next_id_ = 1;              // of probes and relays
  std::map<std::uint64_t, Probe> probes_;  // by id
  std::map<std::uint64_t, Relay> relays_;  // by id
};

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_MEMBERSHIP_FAILURE_DETECTOR_H_
