// Defines the events on which invariants are checked. The source of a record is the log of a simulated run
// (lab/sim/log_events.h) or the events that fakes recorded of real processes (lab/soak/record_events.h).
//
// Plain data. Times and spans are microseconds; identities are numbers that the source of the record assigns.
#ifndef WALNUTSPUR_LAB_INVARIANTS_EVENT_H_
#define WALNUTSPUR_LAB_INVARIANTS_EVENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "core/engine.h"
#include "walnutspur/types.h"

namespace walnutspur::lab::invariants {

using RequestId = std::int64_t;
constexpr RequestId kNoRequest = -1;
constexpr int kNoServer = -1;
constexpr std::int64_t kAnyShard = -1;  // of a new object, which may be placed on any shard

// The first event: limits that hold throughout the run.
struct RunLimits {
  std::int64_t max_attempts = 1;  // of a request
  Time drain_grace = 0;           // after the notice of a drain, in which attempts may still be sent
};

// Terms of a request, as defined by its class. Classes with an idempotency key count as not idempotent:
// whether a repeat falls within its deduplication scope and window is not checked.
struct RequestTerms {
  bool is_idempotent = true;
  Time deadline = 0;  // absolute
};

// A client sends a request to an initiator.
struct RequestSent {
  RequestId request = kNoRequest;
  int initiator = -1;
  std::int64_t shard = kAnyShard;
  std::optional<RequestTerms> terms;  // nullopt: of a class that the record does not define
};

// An initiator sends an attempt to a server. On real processes: its first byte has reached the server.
struct AttemptSent {
  RequestId request = kNoRequest;
  int attempt = -1;
  int initiator = -1;
  int server = kNoServer;
  Time stated_time_left = 0;  // until the deadline, by the attempt's header; 0: without one
};

// The initiator has learned the outcome of an attempt.
struct AttemptEnded {
  RequestId request = kNoRequest;
  int attempt = -1;
  bool may_have_run = true;
};

// A client gets a response.
struct ResponseReceived {
  RequestId request = kNoRequest;
  core::ResponseStatus status = core::ResponseStatus::kServed;
};

// Reason why a request gets no response any more.
enum class DisconnectReason {
  kClientDisconnected,  // the client closed its connection before the response
  kNoResponse,          // the connection ended, or the client's deadline expired, without a response
  kNotAccepted,  // no connection, or one that ended before the request was read: the client may send again
  kStopped       // the run stopped the client
};

// A client's wait for a response ends without one.
struct ClientDisconnected {
  RequestId request = kNoRequest;
  DisconnectReason reason = DisconnectReason::kClientDisconnected;
};

// An initiator is notified of the state of a server.
struct EndpointNotified {
  int initiator = -1;
  int server = kNoServer;
  bool is_active = false;  // false: draining or terminated
  std::int64_t shard = kAnyShard;
};

// A server has accepted an attempt.
struct AttemptAccepted {
  RequestId request = kNoRequest;
  int attempt = -1;
  int server = kNoServer;
  std::int64_t units = 0;  // thousandths
};

// A server begins to work on an attempt.
struct WorkStarted {
  RequestId request = kNoRequest;
  int attempt = -1;
  int server = kNoServer;
};

// The work on an attempt has its effect.
struct WorkFinished {
  RequestId request = kNoRequest;
  int server = kNoServer;
  std::int64_t units = 0;  // thousandths
};

// Accepted work was cancelled or lost.
struct WorkDropped {
  int server = kNoServer;
  std::int64_t units = 0;  // thousandths
};

// Work that a server still holds at the end of the run; once for each server.
struct WorkRemaining {
  int server = kNoServer;
  std::int64_t units = 0;  // thousandths
};

// A server has crashed by overload while it was warming up.
struct ServerOverloaded {
  int server = kNoServer;
};

// The lifecycle of an initiator's process. A started process has not been notified of any server yet.
struct ProcessStarted {
  int initiator = -1;
};
struct ProcessTerminated {  // SIGTERM: it shuts down gracefully
  int initiator = -1;
};
struct ProcessKilled {  // SIGKILL by the run
  int initiator = -1;
};
struct ProcessCrashed {  // without a signal of the run
  std::string description;
};

// An event whose content no invariant depends on; only its time is checked.
struct OtherEvent {};

// The last event.
struct RunEnded {};

using EventBody = std::variant<RunLimits, RequestSent, AttemptSent, AttemptEnded, ResponseReceived,
                               ClientDisconnected, EndpointNotified, AttemptAccepted, WorkStarted,
                               WorkFinished, WorkDropped, WorkRemaining, ServerOverloaded, ProcessStarted,
                               ProcessTerminated, ProcessKilled, ProcessCrashed, OtherEvent, RunEnded>;

struct Event {
  Time at = 0;
  EventBody body;
};

}  // namespace walnutspur::lab::invariants

#endif  // WALNUTSPUR_LAB_INVARIANTS_EVENT_H_
