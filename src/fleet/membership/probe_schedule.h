// Order in which members are probed: SWIM's shuffled round robin, and members that are probed out of turn.
// Owned by a MembershipState, used on the thread of its caller.
#ifndef WALNUTSPUR_FLEET_MEMBERSHIP_PROBE_SCHEDULE_H_
#define WALNUTSPUR_FLEET_MEMBERSHIP_PROBE_SCHEDULE_H_

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "fleet/membership/member_table.h"

namespace walnutspur::fleet {

class ProbeSchedule {
 public:
  // `table` has to outlive the schedule.
  ProbeSchedule(const MemberTable& table, DrawIndex draw) : table_(table), draw_(std::move(draw)) {}

  // Inserts a new member into the current round, at a random place.
  void Add(const std::string& name);
  void ProbeOutOfTurn(const std::string& name) { out_of_turn_.push_back(name); }
  // Likewise, unless it is waiting for that already.
  void ProbeOutOfTurnOnce(const std::string& name);
  // The next live member to probe; empty: there is none.
  std::string Next();
  std::size_t size() const { return round_.size() + out_of_turn_.size(); }

 private:
  bool IsProbeable(const std::string& name) const;
  void StartRound();

  const MemberTable& table_;
  DrawIndex draw_;
  std::vector<std::string> round_;  // taken from the back
  std::deque<std::string> out_of_turn_;
};

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_MEMBERSHIP_PROBE_SCHEDULE_H_
