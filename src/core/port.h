// The interfaces that execute the engine's outputs: front ends respond to clients, connectors send attempts
// to targets. All methods are called on the event-loop thread.
#ifndef WALNUTSPUR_CORE_PORT_H_
#define WALNUTSPUR_CORE_PORT_H_

#include <cstddef>
#include <functional>

#include "core/messages.h"

namespace walnutspur::core {

// Submits an input to the engine; callable from any thread.
using SubmitInput = std::function<void(Input)>;

// The next request number; shared by all front ends of a process.
struct RequestNumbers {
  RequestNumber next = 1;
};

// Accepts requests of one protocol and responds to its clients.
class FrontEnd {
 public:
  virtual ~FrontEnd() = default;
  virtual void Respond(const Response& response) = 0;
  // Returns the number of requests that were accepted and have no response yet.
  virtual std::size_t pending_requests() const = 0;
  // Returns whether the client of a request is still connected according to the kernel: the front end may not
  // have read the end of the connection yet. Closes the connection if the client has closed it.
  virtual bool IsClientConnected(RequestNumber /*request*/) { return true; }
  // Sets the time `end` (us) at which requests without a response time out.
  virtual void SetShutdownDeadline(Time end) = 0;
  // Called repeatedly during shutdown with the time left until all requests must have a response (us). Once
  // another request could not be served in that time, connections are closed after their next response, and
  // no new connections are accepted.
  virtual void AdvanceShutdown(Time time_left) = 0;
  virtual std::size_t connections() const = 0;
};

// Sends attempts of one protocol to targets.
class Connector {
 public:
  virtual ~Connector() = default;
  // Starts an attempt; its outcome is submitted as an AttemptResult.
  virtual void Start(const StartAttempt& attempt) = 0;
  // Aborts an attempt, if it is still open.
  virtual void Cancel(RequestNumber request, int attempt) = 0;
  // Stops sending to a target; attempts in flight may complete.
  virtual void Drain(const TargetId& target) = 0;
};

}  // namespace walnutspur::core

#endif  // WALNUTSPUR_CORE_PORT_H_
