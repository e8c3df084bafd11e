// The clock and the pending timers of one member. Owned by its MembershipState and used on the thread of its
// caller, who passes the time and reports each timer that fires.
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
  // `lateness`: microseconds by which the timer fired after its deadline.
  using Callback = std::function<void(Time lateness)>;
  struct Expired {
    Time lateness = 0;
    Callback callback;
  };

  // Timers are started by appending a StartTimer to `actions`, which has to outlive the queue.
  explicit TimerQueue(std::vector<Action>& actions) : actions_(actions) {}

  // A time before the current one is ignored: time never runs backwards.
  void AdvanceTo(Time now) { now_ = std::max(now_, now); }
  Time now() const { return now_; }

  // Returns the timer's id; ids are never 0.
  std::uint64_t Start(Time delay, Callback callback);
  // The caller's timer still fires; Take returns nothing for it then.
  void Cancel(std::uint64_t id) { pending_.erase(id); }
  // Removes a timer that fired; nothing if it was cancelled.
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
