// Estimates from the hashes in other members' messages whether they have the same table as this member.
//
// Failure: a decision is based on a table that other members do not share, for example during a partition or
// before an update has reached them. Only hashes that were received since this member's table last changed
// count, so any change of the table ends the agreement. Owned by a MembershipState and used on its thread.
#ifndef WALNUTSPUR_FLEET_MEMBERSHIP_CONVERGENCE_H_
#define WALNUTSPUR_FLEET_MEMBERSHIP_CONVERGENCE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace walnutspur::fleet {

class Convergence {
 public:
  // Discards all hashes received so far, since this member's table has changed.
  void Reset();
  // Records whether the hash in a message of `name` equals the hash of this member's table.
  void Observe(const std::string& name, bool agrees);
  void Remove(const std::string& name) { observations_.erase(name); }
  // Returns whether messages of all other members arrived since the table last changed and all hashes agree.
  // In a large fleet a sample of consecutive messages is sufficient, since messages of all members cannot
  // arrive between two changes.
  bool Agreed(int live_count) const;

 private:
  struct Observation {
    std::uint64_t epoch = 0;  // epoch in which the member's last hash was received
    bool agreed = false;
  };

  std::unordered_map<std::string, Observation> observations_;
  std::uint64_t epoch_ = 0;  // number of changes of the table so far
  int agreeing_ = 0;         // members, within this epoch
  int differing_ = 0;
  int consecutive_agreeing_ = 0;  // messages, within this epoch
};

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_MEMBERSHIP_CONVERGENCE_H_
