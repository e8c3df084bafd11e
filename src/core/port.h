// What the engine's outputs drive: a front answers clients, a connector carries out attempts.
#ifndef WALNUTSPUR_CORE_PORT_H_
#define WALNUTSPUR_CORE_PORT_H_

#include <functional>

#include "core/engine.h"

namespace walnutspur::core {

using SubmitInput = std::function<void(Input)>;

// Numbers the requests of all fronts of a process.
struct RequestNumbers {
  RequestNumber next = 1;
};

class FrontEnd {
 public:
  virtual ~FrontEnd() = default;
  virtual void Respond(const Response& answer) = 0;
  virtual std::size_t pending_requests() const = 0;  // requests taken and not answered
  // Whether the client still waits for this request, as far as its connection can tell by now: its leaving
  // may not have been read yet.
  virtual bool IsClientConnected(RequestNumber) { return true; }
  virtual void SetShutdownDeadline(Time end) = 0;  // what is unanswered then is timed out
  // The program ends soon: asked over and over, with the time, us, until all has to be answered. From when
  // another request would get no answer in that time on, connections end with their next answer and no new
  // ones are taken.
  virtual void BeginGracefulShutdown(Time left) = 0;
  virtual std::size_t connections() const = 0;
};

class Connector {
 public:
  virtual ~Connector() = default;
  virtual void Start(const StartAttempt& attempt) = 0;
  virtual void Cancel(RequestNumber serial, int trial) = 0;
  virtual void Drain(const TargetId& target) = 0;
};

}  // namespace walnutspur::core

#endif  // WALNUTSPUR_CORE_PORT_H_
