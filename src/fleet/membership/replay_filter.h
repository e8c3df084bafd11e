// Rejects datagrams that are replayed, by the numbers that their senders count. Owned by a MembershipState,
// used on the thread of its caller.
#ifndef WALNUTSPUR_FLEET_MEMBERSHIP_REPLAY_FILTER_H_
#define WALNUTSPUR_FLEET_MEMBERSHIP_REPLAY_FILTER_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace walnutspur::fleet {

constexpr std::uint64_t kReorderWindow = 256;  // datagrams that may overtake each other

class ReplayFilter {
 public:
  // False: a datagram with this number must have been received long ago.
  bool Accept(const std::string& sender, std::uint64_t number) {
    if (number + kReorderWindow <= highest_[sender]) {
      return false;
    }
    Advance(sender, number);
    return true;
  }
  void Advance(const std::string& sender, std::uint64_t number) {
    highest_[sender] = std::max(highest_[sender], number);
  }
  // For a new incarnation, which nothing that could be replayed belongs to.
  void Set(const std::string& sender, std::uint64_t number) { highest_[sender] = number; }
  void Forget(const std::string& sender) { highest_.erase(sender); }

 private:
  std::unordered_map<std::string, std::uint64_t> highest_;  // by sender
};

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_MEMBERSHIP_REPLAY_FILTER_H_
