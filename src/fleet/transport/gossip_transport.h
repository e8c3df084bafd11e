// Runs a Membership on a UDP socket and the event loop's timers: executes its actions and makes no decisions
// itself. Created by the library's entry point and owned by the program; runs on the loop's thread. Datagrams
// that the socket fails to send are counted as unsent and treated as lost.
#ifndef WALNUTSPUR_FLEET_TRANSPORT_GOSSIP_TRANSPORT_H_
#define WALNUTSPUR_FLEET_TRANSPORT_GOSSIP_TRANSPORT_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "fleet/codec/codec.h"
#include "fleet/fleet.h"
#include "fleet/membership/membership.h"
#include "loop/loop.h"

namespace walnutspur::fleet {

class GossipTransport : public Fleet {
 public:
  // Throws FleetError if it cannot listen at the configured address or the key file holds no valid key.
  GossipTransport(event_base* base, FleetOptions options, FleetHooks hooks);
  ~GossipTransport() override;
  GossipTransport(const GossipTransport&) = delete;
  GossipTransport& operator=(const GossipTransport&) = delete;

  void Publish(const Facts& facts) override;
  void Leave() override;
  std::string Execute(const std::vector<std::string>& words) override;

 private:
  void Bind();
  void OnReadable();
  void RunActions(const std::vector<Action>& actions);
  void Send(const SendDatagram& datagram);
  void Start(const StartTimer& timer);
  void Log(const MemberChanged& change) const;
  void ReportSize();
  std::string StatusText() const;

  event_base* base_;
  FleetOptions options_;
  FleetHooks hooks_;
  Codec codec_;
  int fd_ = -1;
  std::mt19937_64 random_;
  Membership membership_;
  loop::EventHandle readable_;
  std::map<std::uint64_t, loop::EventHandle> timers_;  // by id of the membership's timer
  std::uint64_t received_ = 0;                         // total datagrams
  std::uint64_t sent_ = 0;
  std::uint64_t unsent_ = 0;
  int reported_live_ = 0;  // value last passed to on_size_changed
  double reported_share_ = 0;
};

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_TRANSPORT_GOSSIP_TRANSPORT_H_
