// Stands between members of a fleet and injects faults into what they say to each other.
//
// Each member is told the carrier's address of every other one; who sends is told by the address that a
// datagram comes from. Datagrams are passed on, or by seed cut, lost, delayed, doubled, put out of order,
// damaged, or played again from earlier. Runs on a thread of its own from construction to destruction.
#ifndef WALNUTSPUR_LAB_CARRIER_CARRIER_H_
#define WALNUTSPUR_LAB_CARRIER_CARRIER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <queue>
#include <string>
#include <thread>
#include <vector>

#include "core/engine.h"
#include "lab/random.h"

namespace walnutspur::lab {

// Parts of the datagrams, between 0 and 1; times in us.
struct Faults {
  double lost = 0, doubled = 0, damaged = 0, replayed = 0;
  Time delay_least = 0, delay_most = 0;  // spread evenly, so that datagrams overtake each other
};

class Carrier {
 public:
  // Between so many members; each is reached at 127.0.0.1 at a port of its own.
  Carrier(int members, std::uint64_t seed);
  ~Carrier();
  Carrier(const Carrier&) = delete;
  Carrier& operator=(const Carrier&) = delete;

  int port(int member) const { return links_[static_cast<std::size_t>(member)].own; }
  // Where others reach it: what it has to advertise.
  std::string address(int member) const;
  // Whether what `from` sends reaches `to`; null: it does.
  void Cut(std::function<bool(int from, int to)> passes);
  void Set(const Faults& faults);
  std::uint64_t passed() const { return passed_; }
  std::uint64_t bytes() const { return bytes_; }

 private:
  struct Link {
    int fd = -1, shown = 0, own = 0;  // the carrier's socket and port, and the member's own port
  };
  struct Later {
    Time at = 0;
    std::uint64_t order = 0;
    int to = 0;
    std::string bytes;
    bool operator>(const Later& o) const { return at != o.at ? at > o.at : order > o.order; }
  };

  void Run();
  void Take(int to, std::string bytes, int from);

  std::vector<Link> links_;
  std::mutex mutex_;
  Random random_;
  Faults faults_;
  std::function<bool(int, int)> passes_;
  std::vector<Later> past_;
  std::priority_queue<Later, std::vector<Later>, std::greater<>> later_;
  std::uint64_t next_ = 0;
  std::atomic<std::uint64_t> passed_ = 0, bytes_ = 0;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_CARRIER_CARRIER_H_
