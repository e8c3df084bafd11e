// Handles the signals of the process on the event loop.
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
  // Ignores SIGPIPE from now on: a write to a closed connection returns an error instead.
  ProcessSignals(event_base* base, const std::function<void()>& on_shutdown, std::function<void()> on_reload);

  // Starts to handle the signals. Unblocks and handles SIGHUP only if `handle_reload` is true.
  void Start(bool handle_reload);

  // Requests a shutdown like SIGTERM; callable from any thread.
  void RequestShutdown() { shutdown_requested_.Activate(); }

  // Blocks SIGHUP until Start, so that a SIGHUP during the start does not terminate the process.
  static void BlockReload();

 private:
  loop::EventHandle terminate_;
  loop::EventHandle interrupt_;
  loop::EventHandle hangup_;
  // Separate from the events of the signals: activating one of these manually does not call its callback.
  loop::EventHandle shutdown_requested_;
};

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_PROCESS_SIGNALS_H_
