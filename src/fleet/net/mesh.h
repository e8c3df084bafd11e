// Drives a View on a UDP socket and the loop's timers. Runs on the loop's thread; decides nothing.
#ifndef WALNUTSPUR_FLEET_NET_MESH_H_
#define WALNUTSPUR_FLEET_NET_MESH_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "fleet/fleet.h"
#include "fleet/view/view.h"
#include "fleet/wire/codec.h"
#include "loop/loop.h"

namespace walnutspur::fleet {

class Mesh : public Fleet {
 public:
  // Throws std::runtime_error if it cannot listen, or the key cannot be read.
  Mesh(event_base* base, FleetOptions options, FleetHooks hooks);
  ~Mesh() override;
  Mesh(const Mesh&) = delete;
  Mesh& operator=(const Mesh&) = delete;

  void Publish(const Facts& facts) override;
  void Leave() override;
  std::string Execute(const std::vector<std::string>& words) override;

 private:
  void OnReadable();
  void Do(std::vector<Said> said);
  void Send(const Datagram& datagram);
  void Size();

  event_base* base_;
  FleetOptions options_;
  FleetHooks hooks_;
  Codec codec_;
  int fd_ = -1;
  std::mt19937_64 random_;
  View view_;
  loop::EventHandle readable_;
  std::map<std::uint64_t, loop::EventHandle> waits_;
  std::uint64_t received_ = 0, sent_ = 0, unsent_ = 0;
  int live_ = 0;
  double part_ = 0;
};

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_NET_MESH_H_
