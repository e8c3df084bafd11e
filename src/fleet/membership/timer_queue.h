// Class TimerQueue holds the current time and the pending timers of one member. Owned by a MembershipState
// and used on its thread; the caller passes the time and reports each timer that fires.
#ifndef WALNUTSPUR_FLEET_MEMBERSHIP_TIMER_QUEUE_H_
#define WALNUTSPUR_FLEET_MEMBERSHIP_TIMER_QUEUE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "fleet/membership/actions.h"

namespace walnutspur::fleet {

class TimerQueue {
 public:
  // `lateness` is the time in microseconds from the timer's deadline until it fired.
  using Callback = std::function<void(Time lateness)>;
  struct Expired {
    Time lateness = 0;
    Callback callback;
  };

  // Starts timers by appending a StartTimer to `actions`, which must outlive the queue.
  explicit TimerQueue(std::vector<Action>& actions) : actions_(actions) {}

  // Sets the current time. Ignores an earlier time, so that now() never decreases.
  void AdvanceTo(Time now) { now_ = std::max(now_, now); }
  Time now() const { return now_; }

  // Starts a timer and returns its id, which is never 0.
  std::uint64_t Start(Time delay, Callback callback);
  // Cancels a timer. The caller's timer still fires, but Take returns nullopt for it.
  void Cancel(std::uint64_t id) { pending_.erase(id); }
  // Removes and returns a timer that fired, or returns nullopt if it was cancelled.
  std::optional<Expired> Take(std::uint64_t id);
  std::size_t size() const { return pending_.size(); }

 private:
  struct Pending {
    Time deadline = 0;
    Callback callback;
  };

  std::vector<Action>& actions_;
  Time now_ = 0;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, Pending> pending_;
};

}  // namespace walnutspur::fleet

#endif  // WALNUTSPUR_FLEET_MEMBERSHIP_TIMER_QUEUE_H_
