// Forwards UDP datagrams between the members of a fleet and injects faults into them.
//
// Each member advertises an address of the proxy, so all datagrams pass through the proxy, which identifies
// the sender by its source port. Datagrams are forwarded or, depending on the seed, dropped, delayed,
// duplicated, reordered, corrupted or replayed later. Owned by a test or bench, whose threads may all use it;
// forwards datagrams on its own thread from construction to destruction.
#ifndef WALNUTSPUR_LAB_FAULT_PROXY_FAULT_PROXY_H_
#define WALNUTSPUR_LAB_FAULT_PROXY_FAULT_PROXY_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <queue>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "core/engine.h"
#include "lab/random.h"

namespace walnutspur::lab {

// Reports that the proxy cannot bind its sockets.
class FaultProxyError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Probabilities of faults of a datagram, between 0 and 1, and delays in microseconds.
struct DatagramFaults {
  double loss = 0;
  double duplication = 0;
  double corruption = 0;  // one bit is inverted
  double replay = 0;      // an earlier datagram is sent again
  Time min_delay = 0;     // delays are uniformly distributed, so datagrams are reordered
  Time max_delay = 0;
};

class FaultProxy {
 public:
  // Creates a proxy for `members` members, which each use another port of 127.0.0.1. Throws FaultProxyError.
  FaultProxy(int members, std::uint64_t seed);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  // Returns the port at which the member must listen.
  int port(int member) const { return links_[static_cast<std::size_t>(member)].member_port; }
  // Returns the address that the member must advertise.
  std::string address(int member) const;
  // Drops all datagrams for which `passes` returns false; if null, drops none.
  void SetPartition(std::function<bool(int sender, int receiver)> passes);
  void SetFaults(const DatagramFaults& faults);
  // Returns the number of bytes forwarded so far.
  std::uint64_t forwarded_bytes() const { return forwarded_bytes_; }

 private:
  // Holds the proxy's socket for one member and the ports of both.
  struct Link {
    int fd = -1;
    int proxy_port = 0;
    int member_port = 0;
  };
  struct Datagram {
    Time due = 0;
    std::uint64_t order = 0;
    int receiver = 0;
    std::string bytes;
    bool operator>(const Datagram& other) const {
      return due != other.due ? due > other.due : order > other.order;
    }
  };

  void Run();
  // Forwards all datagrams that are due. Returns the microseconds until the next one is due, at most
  // kPollInterval.
  Time ForwardDue();
  void Receive(std::size_t link);
  void InjectFaults(int sender, int receiver, std::string bytes);
  void Schedule(int receiver, std::string bytes);

  std::vector<Link> links_;  // index is the member
  std::mutex mutex_;         // guards the members from random_ to next_order_
  Random random_;
  DatagramFaults faults_;
  std::function<bool(int, int)> passes_;
  std::vector<Datagram> history_;  // datagrams that may be replayed
  std::priority_queue<Datagram, std::vector<Datagram>, std::greater<>> scheduled_;
  std::uint64_t next_order_ = 0;
  std::atomic<std::uint64_t> forwarded_bytes_ = 0;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_FAULT_PROXY_FAULT_PROXY_H_
