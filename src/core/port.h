// What the engine's outputs drive: a front answers clients, a connector carries out attempts.
#ifndef WALNUTSPUR_CORE_PORT_H_
#define WALNUTSPUR_CORE_PORT_H_

#include <functional>

#include "core/engine.h"

namespace walnutspur::core {

using Post = std::function<void(Input)>;

// Numbers the requests of all fronts of a process.
struct Serials {
  Serial next = 1;
};

class Front {
 public:
  virtual ~Front() = default;
  virtual void Finish(const Answer& answer) = 0;
  virtual std::size_t held() const = 0;  // requests taken and not answered
  // Whether the client still waits for this request, as far as its connection can tell by now: its leaving
  // may not have been read yet.
  virtual bool Waits(Serial) { return true; }
  virtual void EndBy(Time end) = 0;  // what is unanswered then is timed out
  // The program ends soon: asked over and over, with the time, us, until all has to be answered. From when
  // another request would get no answer in that time on, connections end with their next answer and no new
  // ones are taken.
  virtual void Close(Time left) = 0;
  virtual std::size_t connections() const = 0;
};

class Connector {
 public:
  virtual ~Connector() = default;
  virtual void Start(const Attempt& attempt) = 0;
  virtual void Stop(Serial serial, int trial) = 0;
  virtual void Withdraw(const TargetId& target) = 0;
};

}  // namespace walnutspur::core

#endif  // WALNUTSPUR_CORE_PORT_H_
