// Runs a Membership on a UDP socket and the event loop's timers: executes its actions and makes no decisions
// of its own. Created by the library's entry point and owned by the program; runs on the loop's thread.
// Errors of the socket count as lost datagrams.
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
  // Throws FleetError if it cannot listen, or the key cannot be read.
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
  std::map<std::uint64_t, loop::EventHandle> timers_;  // by the membership's timer id
  std::uint64_t received_ = 0;                         // datagrams
  std::uint64_t sent_ = 0;
  std::uint64_t unsent_ = 0;
  int reported_live_ = 0;  // as last passed to on_size_changed
  double reported_share_ = 0;
};

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_TRANSPORT_GOSSIP_TRANSPORT_H_
