// The messages between the engine and the event-loop thread: inputs (events that happened) and outputs
// (commands to execute).
//
// Plain values. Front ends and connectors submit inputs on the event-loop thread, the scheduler thread
// handles them, and the outputs return to the event-loop thread.
#ifndef WALNUTSPUR_CORE_MESSAGES_H_
#define WALNUTSPUR_CORE_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "walnutspur/scheduler.h"

namespace walnutspur::core {

// Identifies a request within one process. Numbers are assigned in the order in which requests are accepted.
using RequestNumber = std::uint64_t;

// Selects the front end and the connector of a request. kInternal: background requests that the process
// itself sends to NBD targets.
enum class Protocol { kHttp, kNbd, kInternal };

// Protocol data that the engine passes on without reading it. The derived type is private to the front ends
// and connectors of one protocol.
struct Payload {
  virtual ~Payload() = default;
};
using PayloadRef = std::shared_ptr<const Payload>;

// ---- inputs ----

// A front end has accepted a request.
struct RequestReceived {
  RequestNumber request = 0;
  Protocol protocol = Protocol::kHttp;
  RequestArrived attributes;      // the engine fills in id and ttl
  std::string client_request_id;  // chosen by the client; empty: none, so duplicates are not detected
  Time deadline = 0;              // when the client stops waiting, us
  PayloadRef payload;
};
// The client has closed its connection.
struct ClientClosed {
  RequestNumber request = 0;
  bool waited = true;  // for this response alone: nothing followed the request on its connection
};
// The client's deadline has passed.
struct DeadlineExpired {
  RequestNumber request = 0;
};
// A connector has finished an attempt.
struct AttemptResult {
  RequestNumber request = 0;
  int attempt = 0;
  Outcome outcome = Outcome::kCompleted;
  Time latency = 0;  // us
  int reported_usage = 0;
  double units_served_elsewhere = 0;
  std::vector<double> load_report;
  PayloadRef payload;  // kCompleted: the response; kCorrupted: its intact part
};
// Discovery has delivered endpoints.
struct EndpointsUpdated {
  EndpointUpdate update;
};
// A timer armed by ArmTimer has fired.
struct TimerExpired {
  std::int64_t timer_id = 0;
};
// A health check has finished.
struct HealthCheckResult {
  HealthCheckFinished result;
};
// The size of the fleet has changed.
struct FleetResized {
  FleetSize size;
};
// The settings have changed.
using walnutspur::SettingsChanged;
// An operator cordons a target or ends its cordon.
struct CordonRequested {
  std::uint64_t call = 0;  // identifies the reply
  TargetId target;
  bool cordoned = true;
  bool is_adopted = false;  // another process of this initiator had the call: the target may be unknown here
};
using Input = std::variant<RequestReceived, ClientClosed, DeadlineExpired, AttemptResult, EndpointsUpdated,
                           TimerExpired, HealthCheckResult, FleetResized, CordonRequested, SettingsChanged>;

// ---- outputs ----

// Send a request to a target.
struct StartAttempt {
  RequestNumber request = 0;
  int attempt = 0;
  Protocol protocol = Protocol::kHttp;
  TargetId target;
  Time timeout = 0;  // how long to wait for the response, us
  PayloadRef payload;
  Time not_after = 0;  // latest time of sending, us; 0: no limit
  Time expires_at =
      0;  // when the attempt times out, however late it begins, us; 0: `timeout` after it begins
};
// Abort an attempt.
struct AbortAttempt {
  RequestNumber request = 0;
  int attempt = 0;
  Protocol protocol = Protocol::kHttp;
};
// Stop sending to a target; attempts in flight may complete.
struct DrainTarget {
  TargetId target;
};
// Allow sending to a target, for the first time or after a drain.
struct ActivateTarget {
  TargetId target;
  Time started_at = 0;  // start of the storage server as reported by discovery, us; 0: long ago
};
// How a request ended for the client.
enum class ResponseStatus { kServed, kRejected, kFailed, kTimedOut, kDuplicate };
// Respond to the client; exactly one for each request.
struct Response {
  RequestNumber request = 0;
  Protocol protocol = Protocol::kHttp;
  ResponseStatus status = ResponseStatus::kFailed;
  Time retry_after = 0;        // kRejected: delay before the client should retry, us
  PayloadRef payload;          // kServed: the response; otherwise the intact part of a corrupted one, if any
  bool met_objective = false;  // served within the latency objective of its class
  double queued_fraction = 0;  // fraction of the open requests that are queued for capacity, 0 to 1
};
// Arm a timer that submits TimerExpired after a delay.
struct ArmTimer {
  std::int64_t timer_id = 0;
  Time delay = 0;  // us
};
// Watch discovery for endpoint updates.
struct OpenWatch {};
// Check the health of a target.
struct StartHealthCheck {
  TargetId target;
};
// A CordonRequested has been executed; the outputs before this one are its effects.
struct CordonResult {
  std::uint64_t call = 0;
  TargetId target;
  bool cordoned = true;
  bool is_known = true;  // false: no endpoint list has ever contained the target, and nothing was changed
};
// A table keyed by names from outside was full. kFlows: a request was rejected. kRequestIds: the oldest id
// was forgotten.
enum class LimitedTable { kFlows, kRequestIds };
struct TableLimitReached {
  LimitedTable table = LimitedTable::kFlows;
  std::size_t entries = 0;
};
using Output = std::variant<StartAttempt, AbortAttempt, DrainTarget, ActivateTarget, Response, ArmTimer,
                            OpenWatch, StartHealthCheck, CordonResult, TableLimitReached>;

}  // namespace walnutspur::core

#endif  // WALNUTSPUR_CORE_MESSAGES_H_
