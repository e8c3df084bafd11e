// Rejects replayed datagrams by the sequence numbers that senders assign. Owned by a MembershipState and used
// on its thread.
//
// Failure: a network replays datagrams minutes later, with states that are outdated. A sequence number far
// below the highest one received from the sender is rejected. The window tolerates reordering; a datagram
// replayed within the window is recent.
#ifndef WALNUTSPUR_FLEET_MEMBERSHIP_REPLAY_FILTER_H_
#define WALNUTSPUR_FLEET_MEMBERSHIP_REPLAY_FILTER_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace walnutspur::fleet {

// Difference from the highest sequence number at which a reordered datagram is rejected.
constexpr std::uint64_t kReorderWindow = 256;

class ReplayFilter {
 public:
  // Returns false if the sequence number is below the window.
  bool Accept(const std::string& sender, std::uint64_t sequence_number) {
    if (sequence_number + kReorderWindow <= highest_[sender]) {
      return false;
    }
    Advance(sender, sequence_number);
    return true;
  }
  void Advance(const std::string& sender, std::uint64_t sequence_number) {
    highest_[sender] = std::max(highest_[sender], sequence_number);
  }
  // Sets the highest sequence number, for a new process or incarnation.
  void Set(const std::string& sender, std::uint64_t sequence_number) { highest_[sender] = sequence_number; }
  void Remove(const std::string& sender) { highest_.erase(sender); }

 private:
  std::unordered_map<std::string, std::uint64_t> highest_;  // sequence number by sender
};

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_MEMBERSHIP_REPLAY_FILTER_H_
