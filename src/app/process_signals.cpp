#include "app/process_signals.h"

#include <csignal>
#include <utility>

namespace walnutspur::app {
namespace {

sigset_t HangupSignalSet() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  return signals;
}

}  // namespace

ProcessSignals::ProcessSignals(event_base* base, const std::function<void()>& on_shutdown,
                               std::function<void()> on_reload)
    : terminate_(base, SIGTERM, EV_SIGNAL | EV_PERSIST, on_shutdown),
      interrupt_(base, SIGINT, EV_SIGNAL | EV_PERSIST, on_shutdown),
      hangup_(base, SIGHUP, EV_SIGNAL | EV_PERSIST, std::move(on_reload)),
      shutdown_requested_(base, -1, EV_PERSIST, on_shutdown) {
  std::signal(SIGPIPE, SIG_IGN);
}

void ProcessSignals::Start(bool handle_reload) {
  terminate_.Start();
  interrupt_.Start();
  if (!handle_reload) {
    return;
  }
  hangup_.Start();
  const sigset_t hangup = HangupSignalSet();
  pthread_sigmask(SIG_UNBLOCK, &hangup, nullptr);
}

void ProcessSignals::BlockReload() {
  const sigset_t hangup = HangupSignalSet();
  pthread_sigmask(SIG_BLOCK, &hangup, nullptr);
}

}  // namespace walnutspur::app
