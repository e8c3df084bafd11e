// Rejects replayed datagrams by the numbers that their senders count. Owned by a MembershipState, used on the
// thread of its caller.
//
// Failure: a network replays datagrams minutes later, with states that were true then. A number far below the
// highest one received is rejected; the window tolerates reordering, and replays within it are recent.
#ifndef WALNUTSPUR_FLEET_MEMBERSHIP_REPLAY_FILTER_H_
#define WALNUTSPUR_FLEET_MEMBERSHIP_REPLAY_FILTER_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace walnutspur::fleet {

// Datagrams by which one may be overtaken and is still accepted.
constexpr std::uint64_t kReorderWindow = 256;

class ReplayFilter {
 public:
  // False: the number is below the window.
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
  // Resets the highest number, for a new process or incarnation.
  void Set(const std::string& sender, std::uint64_t sequence_number) { highest_[sender] = sequence_number; }
  void Remove(const std::string& sender) { highest_.erase(sender); }

 private:
  std::unordered_map<std::string, std::uint64_t> highest_;  // by sender
};

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_MEMBERSHIP_REPLAY_FILTER_H_
