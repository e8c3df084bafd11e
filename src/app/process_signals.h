// The signals of the process, delivered on the event loop.
//
// SIGTERM and SIGINT request a graceful shutdown, SIGHUP a reload of the configuration. Owned by the
// Initiator; callbacks run on the event-loop thread.
#ifndef WALNUTSPUR_APP_PROCESS_SIGNALS_H_
#define WALNUTSPUR_APP_PROCESS_SIGNALS_H_

#include <functional>

#include "loop/loop.h"

namespace walnutspur::app {

class ProcessSignals {
 public:
  // Ignores SIGPIPE from now on: a write to a closed connection is an error code instead.
  ProcessSignals(event_base* base, const std::function<void()>& on_shutdown, std::function<void()> on_reload);

  // Handles signals from now on; SIGHUP, and its unblocking, only with `handle_reload`.
  void Start(bool handle_reload);

  // Requests a shutdown like SIGTERM; callable from any thread.
  void RequestShutdown() { shutdown_requested_.Activate(); }

  // Blocks SIGHUP until Start, so that one which arrives during the start doesn't end the process.
  static void BlockReload();

 private:
  loop::EventHandle terminate_;
  loop::EventHandle interrupt_;
  loop::EventHandle hangup_;
  // Separate from the signals' events: activating one of those by hand calls nothing.
  loop::EventHandle shutdown_requested_;
};

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_PROCESS_SIGNALS_H_
