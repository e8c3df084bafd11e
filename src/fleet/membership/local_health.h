// Lifeguard's local health: a score of how slow or badly connected this member is itself. Owned by the
// member's MembershipState, used on the thread of its caller. Times are microseconds.
//
// Failure: a member that lacks processor time, or whose link is bad, misses answers and would declare healthy
// members failed. Each indication of that raises the score, which lengthens its intervals and timeouts; each
// answered probe lowers it.
#ifndef WALNUTSPUR_FLEET_MEMBERSHIP_LOCAL_HEALTH_H_
#define WALNUTSPUR_FLEET_MEMBERSHIP_LOCAL_HEALTH_H_

#include <algorithm>

#include "walnutspur/scheduler.h"

namespace walnutspur::fleet {

// Highest score; intervals and timeouts are at most this many times longer, plus one.
constexpr int kMaxHealthScore = 8;

class LocalHealth {
 public:
  // Disabled, the score stays 0.
  explicit LocalHealth(bool enabled) : enabled_(enabled) {}

  // 0: healthy.
  int score() const { return score_; }
  void Adjust(int difference) {
    if (enabled_) {
      score_ = std::clamp(score_ + difference, 0, kMaxHealthScore);
    }
  }
  // Intervals and timeouts grow with the score.
  Time Scale(Time time) const { return time * (1 + score_); }

  // This process was stopped or got no processor. It did not receive either: timeouts that passed meanwhile
  // are no evidence against other members.
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
