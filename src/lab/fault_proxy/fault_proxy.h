// A UDP proxy between the members of a fleet that injects faults into their datagrams.
//
// Each member advertises the proxy's address for it, so all datagrams pass through here; the sender is
// identified by its own source address. Datagrams are forwarded, or by the seed dropped, delayed, duplicated,
// reordered, corrupted, or replayed later. Owned by a test or bench, whose threads may all call it; forwards
// on a thread of its own from construction to destruction.
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

// The proxy cannot get its sockets.
class FaultProxyError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Probabilities of a datagram's faults, between 0 and 1; delays in microseconds.
struct DatagramFaults {
  double loss = 0;
  double duplication = 0;
  double corruption = 0;  // one bit is inverted
  double replay = 0;      // an earlier datagram is sent once more
  Time min_delay = 0;     // delays are distributed evenly, so datagrams are reordered
  Time max_delay = 0;
};

class FaultProxy {
 public:
  // For `members` members, each at 127.0.0.1 and a port of its own. Throws FaultProxyError.
  FaultProxy(int members, std::uint64_t seed);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  // Port that the member has to listen at.
  int port(int member) const { return links_[static_cast<std::size_t>(member)].member_port; }
  // Address that the member has to advertise.
  std::string address(int member) const;
  // Drops all datagrams for which `passes` is false; null: none.
  void SetPartition(std::function<bool(int sender, int receiver)> passes);
  void SetFaults(const DatagramFaults& faults);
  // Bytes forwarded so far.
  std::uint64_t forwarded_bytes() const { return forwarded_bytes_; }

 private:
  // The proxy's socket for one member.
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
  // Forwards what is due; microseconds until the next datagram is, at most kPollInterval.
  Time ForwardDue();
  void Receive(std::size_t link);
  void InjectFaults(int sender, int receiver, std::string bytes);
  void Schedule(int receiver, std::string bytes);

  std::vector<Link> links_;  // by member
  std::mutex mutex_;         // guards the state from here to next_order_
  Random random_;
  DatagramFaults faults_;
  std::function<bool(int, int)> passes_;
  std::vector<Datagram> history_;  // that may be replayed
  std::priority_queue<Datagram, std::vector<Datagram>, std::greater<>> scheduled_;
  std::uint64_t next_order_ = 0;
  std::atomic<std::uint64_t> forwarded_bytes_ = 0;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_FAULT_PROXY_FAULT_PROXY_H_
