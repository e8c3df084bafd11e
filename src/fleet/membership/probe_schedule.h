// Determines the order in which members are probed: SWIM's randomized round robin, preceded by members that
// are probed out of turn. Owned by a MembershipState and used on its thread.
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
  // `table` must outlive the schedule.
  ProbeSchedule(const MemberTable& table, DrawIndex draw) : table_(table), draw_(std::move(draw)) {}

  // Inserts a new member into the current round, at a random position.
  void Add(const std::string& name);
  void ProbeOutOfTurn(const std::string& name) { out_of_turn_.push_back(name); }
  // Schedules a probe of the member out of turn, unless one is already scheduled.
  void ProbeOutOfTurnOnce(const std::string& name);
  // Returns the next live member to probe; empty if there is none.
  std::string Next();
  std::size_t size() const { return round_.size() + out_of_turn_.size(); }

 private:
  bool IsProbeable(const std::string& name) const;
  void StartRound();

  const MemberTable& table_;
  DrawIndex draw_;
  std::vector<std::string> round_;  // in reverse order: Next takes the last one
  std::deque<std::string> out_of_turn_;
};

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_MEMBERSHIP_PROBE_SCHEDULE_H_
