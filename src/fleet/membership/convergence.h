// Whether the other members have the same table as this one, estimated from the hashes in their messages.
//
// Failure: a decision is based on a table that other members do not share, for example during a partition or
// before an update has reached them. Only hashes that were received since this table last changed count, so
// that any change of it ends the agreement. Owned by a MembershipState, used on the thread of its caller.
#ifndef WALNUTSPUR_FLEET_MEMBERSHIP_CONVERGENCE_H_
#define WALNUTSPUR_FLEET_MEMBERSHIP_CONVERGENCE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace walnutspur::fleet {

class Convergence {
 public:
  // The table changed: hashes that were received before no longer count.
  void Reset();
  // A message of `name` arrived whose hash equals ours, or does not.
  void Observe(const std::string& name, bool agrees);
  void Remove(const std::string& name) { observations_.erase(name); }
  // Whether all members whose messages were received since the table last changed agree. In a large fleet a
  // sample of consecutive messages is sufficient, since messages of all members cannot arrive between two
  // changes.
  bool Agreed(int live_count) const;

 private:
  struct Observation {
    std::uint64_t epoch = 0;  // in which its hash was received last
    bool agreed = false;
  };

  std::unordered_map<std::string, Observation> observations_;
  std::uint64_t epoch_ = 0;  // changes of the table so far
  int agreeing_ = 0;         // members, within this epoch
  int differing_ = 0;
  int consecutive_agreeing_ = 0;  // messages, within this epoch
};

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_MEMBERSHIP_CONVERGENCE_H_
