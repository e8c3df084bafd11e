// Computes the backoff of one target: how long no attempt is sent to it after it was overloaded or
// unreachable.
//
// A target that rejects attempts because of overload has a full queue, which takes time to drain. A target
// that cannot be connected to is restarting or gone. Each further failure of the same kind doubles the
// backoff up to its maximum, and a completed attempt resets both counts of failures. The backoff of the
// latest failure replaces a backoff that is still in progress, even if that would end later. No I/O, clock,
// thread or randomness; owned by the target's record.
#ifndef WALNUTSPUR_LIMITS_TARGET_BACKOFF_H_
#define WALNUTSPUR_LIMITS_TARGET_BACKOFF_H_

#include "walnutspur/types.h"

namespace walnutspur::limits {

class TargetBackoff {
 public:
  // Records that the target rejected an attempt because it is overloaded.
  void OnOverloaded(Time now);

  // Records that no connection was established in time, or that it ended before the request was written.
  void OnConnectFailed(Time now);

  // Records that an attempt completed. A backoff in progress continues to its end.
  void OnCompleted();

  // Records that the target's process has been replaced: the backoff ends at once. The counts of failures
  // stay.
  void OnTargetRestarted() { ends_at_ = 0; }

  // Returns whether attempts may be sent at `now`.
  bool IsOver(Time now) const { return now >= ends_at_; }

  // Returns the time until which no attempt is sent.
  Time ends_at() const { return ends_at_; }

 private:
  Time ends_at_ = 0;
  int overloads_ = 0;         // since the last completed attempt
  int connect_failures_ = 0;  // since the last completed attempt
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_TARGET_BACKOFF_H_
