// The graceful shutdown of the process: from the request to end until the event loop is stopped.
//
// After the request new clients are still accepted for a while, and connections stay open: what their clients
// would send next can reach no other initiator. Shortly before the process would be killed, connections close
// with their next response, early enough for that response to be a served one. Owned by the Initiator; runs
// on the event-loop thread.
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

  // `front_ends` returns all that have to finish; `on_begin` is called once, when the shutdown begins.
  GracefulShutdown(event_base* base, FrontEnds front_ends, std::function<void()> on_begin);

  // Begins the shutdown, unless it has begun. `longest_deadline` (us) is the longest that a client waits.
  void Begin(Time longest_deadline);
  bool begun() const { return ends_at_ != 0; }

 private:
  // Closes what has become idle, and stops the event loop when nothing is left.
  void CloseIdle();
  // Closes what is still open, and stops the event loop.
  void End();

  event_base* base_;
  FrontEnds front_ends_;
  std::function<void()> on_begin_;
  Time ends_at_ = 0;  // when the event loop is stopped at the latest, us; 0: not begun
  loop::EventHandle close_idle_timer_;
  loop::EventHandle end_timer_;
};

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_GRACEFUL_SHUTDOWN_H_
