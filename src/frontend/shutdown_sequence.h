// Tracks the phases of a front end's graceful shutdown. Phases are entered in this order and never left for
// an earlier one:
//
//   kServing -- Schedule --> kScheduled
//   any      -- Advance  --> kDraining, kClosingIdle, kClosingPartialRequest, kClosingAwaitingResponse
//
// Advance may skip phases if the event loop is late. Each front end owns one sequence, which its connections
// read; app::GracefulShutdown drives the front ends. Event-loop thread; no I/O, clock or timer.
#ifndef WALNUTSPUR_FRONTEND_SHUTDOWN_SEQUENCE_H_
#define WALNUTSPUR_FRONTEND_SHUTDOWN_SEQUENCE_H_

#include "limits/duration.h"
#include "limits/shutdown_deadline_estimate.h"

namespace walnutspur::frontend {

enum class ShutdownPhase {
  kServing,                  // no shutdown is scheduled
  kScheduled,                // a deadline for all responses is set; connections stay open
  kDraining,                 // no new connections are accepted; the next response of each is its last
  kClosingIdle,              // idle connections are closed
  kClosingPartialRequest,    // also connections with a partly received request
  kClosingAwaitingResponse,  // also connections whose request has no response yet
};

// The state of a connection that decides in which phase it is closed.
enum class ConnectionActivity {
  kIdle,              // no byte of a request has arrived
  kPartialRequest,    // part of a request has arrived, or unread bytes are in the kernel
  kAwaitingResponse,  // a request has no response yet
};

// No limit; its effect is stated at each member of ShutdownLimits.
constexpr Duration kUnlimited = Duration::max();

// When connections are closed, relative to the deadline by which all requests must have a response.
struct ShutdownLimits {
  Duration close_idle_before = kUnlimited;              // kUnlimited: as soon as the front end drains
  Duration close_partial_request_after = kUnlimited;    // kUnlimited: never
  Duration close_awaiting_response_after = kUnlimited;  // kUnlimited: never
};

class ShutdownSequence {
 public:
  explicit ShutdownSequence(const ShutdownLimits& limits) : limits_(limits) {}

  // Records that a deadline has been set.
  void Schedule();
  // Enters the phase that is due `time_left` us before the deadline (negative: after it). Returns whether the
  // front end has just begun to drain, in which case it must stop accepting connections.
  bool Advance(Time time_left);

  // Records a response that was sent `latency` us after its request arrived. Draining begins before the
  // deadline by a lead time that follows the latency of responses.
  void OnResponse(Time latency) { estimate_.OnResponse(latency); }

  // Sets whether each response is its connection's last although no shutdown has begun, because another
  // process accepts new connections.
  void set_hands_over(bool hands_over) { hands_over_ = hands_over; }
  // Returns whether a connection is closed after its next response.
  bool closes_after_response() const { return hands_over_ || is_draining(); }

  ShutdownPhase phase() const { return phase_; }
  bool is_scheduled() const { return phase_ >= ShutdownPhase::kScheduled; }
  bool is_draining() const { return phase_ >= ShutdownPhase::kDraining; }
  // Returns whether connections with this activity must be closed in the current phase.
  bool ShouldClose(ConnectionActivity activity) const;

 private:
  ShutdownPhase PhaseAt(Time time_left) const;

  ShutdownLimits limits_;
  ShutdownPhase phase_ = ShutdownPhase::kServing;
  bool hands_over_ = false;
  limits::ShutdownDeadlineEstimate estimate_;
};

}  // namespace walnutspur::frontend

#endif  // WALNUTSPUR_FRONTEND_SHUTDOWN_SEQUENCE_H_
