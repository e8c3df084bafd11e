// Class LocalHealth maintains Lifeguard's local health: a score of how slow or badly connected this member is
// itself. Owned by a MembershipState and used on its thread. Times are microseconds.
//
// Failure: a member that lacks processor time, or whose link loses datagrams, misses acks and would declare
// healthy members failed. Each indication of that raises the score, which lengthens the member's intervals
// and timeouts; each acknowledged probe lowers it.
#ifndef WALNUTSPUR_FLEET_MEMBERSHIP_LOCAL_HEALTH_H_
#define WALNUTSPUR_FLEET_MEMBERSHIP_LOCAL_HEALTH_H_

#include <algorithm>

#include "walnutspur/scheduler.h"

namespace walnutspur::fleet {

// Maximum score; intervals and timeouts are multiplied by at most this number plus one.
constexpr int kMaxHealthScore = 8;

class LocalHealth {
 public:
  // If `enabled` is false, the score remains 0.
  explicit LocalHealth(bool enabled) : enabled_(enabled) {}

  // Returns the score; 0 means healthy.
  int score() const { return score_; }
  void Adjust(int difference) {
    if (enabled_) {
      score_ = std::clamp(score_ + difference, 0, kMaxHealthScore);
    }
  }
  // Returns an interval or timeout multiplied by the score plus one.
  Time Scale(Time time) const { return time * (1 + score_); }

  // Records that this process was stopped or got no processor time. It received no datagrams meanwhile
  // either, so timeouts that expired in that time are no evidence against other members.
  void RecordStall(Time now) {
    stalled_at_ = now;
    Adjust(1);
  }
  bool StalledSince(Time time) const { return stalled_at_ > time; }

 private:
  bool enabled_;
  int score_ = 0;
  Time stalled_at_ = 0;
};

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_MEMBERSHIP_LOCAL_HEALTH_H_
