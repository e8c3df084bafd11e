// The graceful shutdown of a front end, as a sequence of phases that are passed in order and never backwards:
//
//   kServing -- Schedule --> kScheduled
//   any      -- Advance  --> kDraining, kClosingIdle, kClosingPartialRequest, kClosingAwaitingResponse
//
// Advance may skip phases, where the event loop is late. Each front end owns one sequence and shares it with
// its connections for reading; app::GracefulShutdown drives the front ends. Event-loop thread; no I/O, clock
// or timer.
#ifndef WALNUTSPUR_FRONTEND_SHUTDOWN_SEQUENCE_H_
#define WALNUTSPUR_FRONTEND_SHUTDOWN_SEQUENCE_H_

#include "limits/duration.h"
#include "limits/shutdown_deadline_estimate.h"

namespace walnutspur::frontend {

enum class ShutdownPhase {
  kServing,                  // no shutdown is scheduled
  kScheduled,                // requests have to be answered by the deadline; connections stay open
  kDraining,                 // no new connections; the next response of each connection is its last
  kClosingIdle,              // connections without a request are shut down
  kClosingPartialRequest,    // so are those that hold a part of a request
  kClosingAwaitingResponse,  // so are those whose request has no response yet
};

// What a connection is doing, as far as a shutdown is concerned.
enum class ConnectionActivity {
  kIdle,              // no request, and no byte of one
  kPartialRequest,    // a part of a request has arrived, or bytes wait in the kernel
  kAwaitingResponse,  // a request has no response yet
};

// No limit; see each member of ShutdownLimits for what that means.
constexpr Duration kUnlimited = Duration::max();

// When connections are shut down, relative to the deadline by which all requests have to be answered.
struct ShutdownLimits {
  Duration close_idle_before = kUnlimited;              // kUnlimited: as soon as the front end drains
  Duration close_partial_request_after = kUnlimited;    // kUnlimited: never
  Duration close_awaiting_response_after = kUnlimited;  // kUnlimited: never
};

class ShutdownSequence {
 public:
  explicit ShutdownSequence(const ShutdownLimits& limits) : limits_(limits) {}

  // A deadline has been set.
  void Schedule();
  // Enters the phase that is due `time_left` us before the deadline (negative: after it). Returns whether the
  // front end drains from now on and has not before: then it has to stop accepting connections.
  bool Advance(Time time_left);

  // Records a response given `latency` us after its request arrived. Draining begins as long before the
  // deadline as responses take.
  void OnResponse(Time latency) { estimate_.OnResponse(latency); }

  ShutdownPhase phase() const { return phase_; }
  bool is_scheduled() const { return phase_ >= ShutdownPhase::kScheduled; }
  bool is_draining() const { return phase_ >= ShutdownPhase::kDraining; }
  // Whether connections with this activity are to be shut down in the present phase.
  bool ShouldClose(ConnectionActivity activity) const;

 private:
  ShutdownPhase PhaseAt(Time time_left) const;

  ShutdownLimits limits_;
  ShutdownPhase phase_ = ShutdownPhase::kServing;
  limits::ShutdownDeadlineEstimate estimate_;
};

}  // namespace walnutspur::frontend

#endif  // WALNUTSPUR_FRONTEND_SHUTDOWN_SEQUENCE_H_
