// The interfaces that the engine's outputs drive: front ends respond to clients, connectors send attempts to
// targets. All of it is called on the event-loop thread.
#ifndef WALNUTSPUR_CORE_PORT_H_
#define WALNUTSPUR_CORE_PORT_H_

#include <cstddef>
#include <functional>

#include "core/messages.h"

namespace walnutspur::core {

// Submits an input to the engine; callable from any thread.
using SubmitInput = std::function<void(Input)>;

// The numbering of requests that all front ends of a process share.
struct RequestNumbers {
  RequestNumber next = 1;
};

// Accepts requests of one protocol and responds to its clients.
class FrontEnd {
 public:
  virtual ~FrontEnd() = default;
  virtual void Respond(const Response& response) = 0;
  // Requests accepted and not answered yet.
  virtual std::size_t pending_requests() const = 0;
  // Whether the client of a request is still connected, as far as the kernel knows: the end of the connection
  // may not have been read yet. A connection that turns out to be closed is ended here.
  virtual bool IsClientConnected(RequestNumber /*request*/) { return true; }
  // Requests that are unanswered at `end` (us) are timed out then.
  virtual void SetShutdownDeadline(Time end) = 0;
  // Called repeatedly during shutdown with the time left until all requests have to be answered (us). Once
  // another request could not be served in that time, connections close after their next response and no new
  // ones are accepted.
  virtual void AdvanceShutdown(Time time_left) = 0;
  virtual std::size_t connections() const = 0;
};

// Sends attempts of one protocol to targets.
class Connector {
 public:
  virtual ~Connector() = default;
  // Starts an attempt; its outcome is submitted as an AttemptResult.
  virtual void Start(const StartAttempt& attempt) = 0;
  // Abandons an attempt, if it is still open.
  virtual void Cancel(RequestNumber request, int attempt) = 0;
  // Stops sending to a target; what has been sent may finish.
  virtual void Drain(const TargetId& target) = 0;
};

}  // namespace walnutspur::core

#endif  // WALNUTSPUR_CORE_PORT_H_
