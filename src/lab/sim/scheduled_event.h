// The events of a simulated run. Each is scheduled for a time and handled by exactly one model.
#ifndef WALNUTSPUR_LAB_SIM_SCHEDULED_EVENT_H_
#define WALNUTSPUR_LAB_SIM_SCHEDULED_EVENT_H_

#include <cstddef>
#include <cstdint>
#include <variant>

#include "walnutspur/scheduler.h"

namespace walnutspur::lab::sim {

// ---- load generator ----

// The next request of the fleet arrives.
struct RequestDue {};

// ---- initiators ----

// The deadline of a request expires.
struct DeadlinePassed {
  int initiator = 0;
  std::int64_t request = 0;
};
// An attempt ends at its initiator with a reply, a broken connection, a timeout or a cancellation. Only the
// first of these events of an attempt is used.
struct AttemptEnded {
  int initiator = 0;
  std::int64_t request = 0;
  int attempt = 0;
  Outcome outcome = Outcome::kCompleted;
};
// A timer of an initiator's engine fires.
struct EngineTimerExpired {
  int initiator = 0;
  std::int64_t timer_id = 0;
};
// A health check ends at its initiator.
struct HealthCheckEnded {
  int initiator = 0;
  int server = 0;
  Time latency = 0;  // us
};
// Discovery notifies an initiator of a server's state.
struct EndpointNotified {
  int initiator = 0;
  int server = 0;
  EndpointState state = EndpointState::kActive;
};

// ---- storage servers ----

// An attempt reaches its server.
struct AttemptDelivered {
  int initiator = 0;
  int server = 0;
  std::int64_t request = 0;
  int attempt = 0;
  std::int64_t units = 0;  // size of the request, in 1/1000 of a unit
};
// A cancellation reaches the server of its attempt.
struct CancellationDelivered {
  int initiator = 0;
  int server = 0;
  std::int64_t request = 0;
  int attempt = 0;
};
// A slot of a server finishes its work.
struct WorkCompleted {
  int server = 0;
  std::uint64_t ticket = 0;  // of the accepted attempt
};
// A server begins one of its random pauses.
struct ServerPaused {
  int server = 0;
};
// A pause or freeze of a server ends.
struct ServerResumed {
  int server = 0;
};
// The process of a server starts again.
struct ServerRestarted {
  int server = 0;
};

// ---- fault schedule ----

// A fault begins or ends for one of its targets.
struct FaultStep {
  std::size_t fault = 0;  // index into Experiment::faults
  int target = 0;         // relative to the fault's first target
  bool begins = true;
};

using EventBody = std::variant<RequestDue, DeadlinePassed, AttemptEnded, EngineTimerExpired, HealthCheckEnded,
                               EndpointNotified, AttemptDelivered, CancellationDelivered, WorkCompleted,
                               ServerPaused, ServerResumed, ServerRestarted, FaultStep>;

// An event and its place in the order of the run: by time, then by order of scheduling.
struct ScheduledEvent {
  Time at = 0;  // us
  std::uint64_t order = 0;
  EventBody body;
  bool operator>(const ScheduledEvent& other) const {
    return at != other.at ? at > other.at : order > other.order;
  }
};

}  // namespace walnutspur::lab::sim

#endif  // WALNUTSPUR_LAB_SIM_SCHEDULED_EVENT_H_
