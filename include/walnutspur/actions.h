// Actions: the commands that a Scheduler returns to its initiator.
//
// Plain data, created by the Scheduler on its thread. The initiator carries the actions out in order.
#ifndef WALNUTSPUR_ACTIONS_H_
#define WALNUTSPUR_ACTIONS_H_

#include <cstdint>
#include <variant>

#include "walnutspur/types.h"

namespace walnutspur {

// Sends a request to a target. The attempts of a request are numbered from 0.
struct SendAttempt {
  RequestId id;
  TargetId target;
  Time timeout = 0;  // us; 0: none before the client's deadline
  // Latest time to send the attempt, 0: none. Later the target may be draining or may run a repeat again.
  Time not_after = 0;
};

// Why a request is rejected. kTableFull: the tables have no room for its volume or key.
enum class RejectionReason { kLoad, kTableFull };

// Sends the final response "rejected": the request was not executed, or the client can safely retry it.
struct RejectRequest {
  RequestId id;
  Time retry_after = 0;  // us after which the client may retry; 0: not stated
  RejectionReason reason = RejectionReason::kLoad;
};

// Sends the final response "failed": whether the request was executed is unknown.
struct FailRequest {
  RequestId id;
};

// Requests a TimerFired event after a delay.
struct StartTimer {
  std::int64_t timer_id = 0;
  Time delay = 0;  // us
};

// Cancels an attempt in flight. An AttemptFinished event still follows.
struct CancelAttempt {
  RequestId id;
  int attempt = 0;  // counted from 0
};

// Sends a health check to a target.
struct CheckHealth {
  TargetId target;
};

// Fetches the endpoint list and subscribes to its changes.
struct WatchEndpoints {};

// Any action.
using Action = std::variant<SendAttempt, RejectRequest, FailRequest, StartTimer, CancelAttempt, CheckHealth,
                            WatchEndpoints>;

}  // namespace walnutspur

#endif  // WALNUTSPUR_ACTIONS_H_
