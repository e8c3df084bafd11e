// SWIM's failure detector: each period one member is probed, by others on this one's behalf if it does not
// answer in time, and suspected if none of them gets an answer. Also relays the probes of others.
//
// Failures and their guards:
// - The link between two members is broken and both suspect each other although all others reach them.
//   Indirect probes by other members take other links.
// - This process was stopped or got no processor: its probes time out although the answers have arrived. A
//   probe that ends late, or soon after a stall, suspects no member and lowers this member's local health
//   instead.
// - This member is cut off itself and would suspect all others. Relays reply with a nack when their target
//   does not answer; missing nacks lower the local health, which lengthens its timeouts.
//
// A component of a Membership, used on the thread of its caller.
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

  // Starts probing after a random fraction of a period, since members that start at the same time must not
  // all probe at the same time. Called once.
  void Start();
  void OnPing(const Message& message);
  void OnPingRequest(const Message& message);
  void OnAck(const Message& message);
  void OnNack(const Message& message);
  // Probes in flight, this member's own and relayed ones.
  std::size_t size() const { return probes_.size() + relays_.size(); }

 private:
  struct Probe {
    std::string target;
    bool acked = false;
    int relays = 0;  // members that were requested to probe
    int nacks = 0;   // of them
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
