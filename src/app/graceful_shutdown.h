// Shuts the process down gracefully, from the shutdown request until the event loop is stopped.
//
// After the request, new clients are still accepted for a while and connections stay open, since the next
// requests of their clients could not reach another initiator. Shortly before the platform would kill the
// process, each connection is closed with its next response, early enough for that request to be served.
// Owned by the Initiator; runs on the event-loop thread.
#ifndef WALNUTSPUR_APP_GRACEFUL_SHUTDOWN_H_
#define WALNUTSPUR_APP_GRACEFUL_SHUTDOWN_H_

#include <functional>
#include <vector>

#include "core/port.h"
#include "loop/loop.h"

namespace walnutspur::app {

class GracefulShutdown {
 public:
  using FrontEnds = std::function<std::vector<core::FrontEnd*>()>;

  // `front_ends` returns the front ends to shut down; `on_begin` is called once, when the shutdown begins.
  GracefulShutdown(event_base* base, FrontEnds front_ends, std::function<void()> on_begin);

  // Begins the shutdown, unless it has already begun. `longest_deadline` is the longest time that a client
  // waits for a response, us.
  void Begin(Time longest_deadline);
  bool begun() const { return ends_at_ != 0; }

 private:
  // Closes idle connections, and stops the event loop when no connection or request is left.
  void CloseIdle();
  // Closes the remaining connections and stops the event loop.
  void End();

  event_base* base_;
  FrontEnds front_ends_;
  std::function<void()> on_begin_;
  Time ends_at_ = 0;  // latest time at which the event loop is stopped, us; 0: not begun
  loop::EventHandle close_idle_timer_;
  loop::EventHandle end_timer_;
};

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_GRACEFUL_SHUTDOWN_H_
