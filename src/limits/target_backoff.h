// Backoff of one target: how long no attempt is sent to it after it was overloaded or could not be reached.
//
// A target that rejects for overload has a full queue, which takes time to drain; one that cannot
// be connected to is restarting or gone. Each further failure of the same kind doubles the backoff up to its
// bound, and a completed attempt ends the series. The latest failure decides: its backoff takes the place of
// one that is still running, even if that is longer. No I/O, clock, thread or randomness; owned by the
// target's record.
#ifndef WALNUTSPUR_LIMITS_TARGET_BACKOFF_H_
#define WALNUTSPUR_LIMITS_TARGET_BACKOFF_H_

#include "walnutspur/types.h"

namespace walnutspur::limits {

class TargetBackoff {
 public:
  // An attempt was rejected since the target is overloaded.
  void OnOverloaded(Time now);

  // No connection was established in time, or it ended before the request was written.
  void OnConnectFailed(Time now);

  // An attempt completed. A backoff in progress goes on to its end.
  void OnCompleted();

  // A new process is behind the target: the backoff ends at once. The counts of failures stay.
  void OnTargetRestarted() { ends_at_ = 0; }

  // Whether attempts may be sent at `now`.
  bool IsOver(Time now) const { return now >= ends_at_; }

  // Time until which no attempt is sent.
  Time ends_at() const { return ends_at_; }

 private:
  Time ends_at_ = 0;
  int overloads_ = 0;         // since the last completed attempt
  int connect_failures_ = 0;  // the same
};

}  // namespace walnutspur::limits

#endif  // WALNUTSPUR_LIMITS_TARGET_BACKOFF_H_
