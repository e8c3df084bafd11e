// A listening socket: RAII over libevent's evconnlistener. It can pause for a short while, so that a socket
// that stays readable does not make the loop spin while there is no capacity or no descriptor.
//
// Belongs to the thread of its event loop, which runs the callbacks; its owner must outlive it.
#ifndef WALNUTSPUR_LOOP_LISTENER_H_
#define WALNUTSPUR_LOOP_LISTENER_H_

#include <event2/listener.h>

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

#include "loop/address.h"
#include "loop/loop.h"

namespace walnutspur::loop {

// A socket that cannot listen. what(): "cannot listen at PLACE: REASON".
class ListenError : public std::runtime_error {
 public:
  ListenError(const std::string& place, const std::string& reason)
      : std::runtime_error("cannot listen at " + place + ": " + reason), reason_(reason) {}
  // The system's message alone.
  const std::string& reason() const { return reason_; }

 private:
  std::string reason_;
};

struct ListenerOptions {
  int backlog = -1;           // connections that the kernel completes ahead; -1: libevent's default
  bool reuse_address = true;  // SO_REUSEADDR
};

struct ListenerCallbacks {
  // Takes over an accepted socket, which does not block.
  std::function<void(evutil_socket_t fd)> on_accept;
  // accept() has failed with this errno, out of descriptors or the like. Empty: libevent logs it.
  std::function<void(int error)> on_error;
  // Whether another connection can be accepted; called when a pause is over. Empty: always.
  std::function<bool()> has_capacity;
};

class Listener {
 public:
  // Binds to the address and listens. Throws ListenError, or AddressError where the host is not numeric.
  Listener(event_base* base, const Address& address, const ListenerOptions& options,
           ListenerCallbacks callbacks);
  // Listens on a bound socket that does not block, and owns it from then on. Throws ListenError, which names
  // `place`; the socket is the caller's then.
  Listener(event_base* base, evutil_socket_t bound_socket, const std::string& place, int backlog,
           ListenerCallbacks callbacks);
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // Stops accepting for 20 ms, and for as long as there is no capacity.
  void Pause();
  // Accepts at once what waits in the kernel's backlog.
  void AcceptPending();
  // How long what is accepted now may have waited in the kernel's backlog because of pauses, us.
  Time MaxBacklogWait() const;
  // Closes the socket for good. After that only Close and Pause may be called, which do nothing.
  void Close();

  // The port that it is bound to; 0 for a socket without ports.
  int port() const { return port_; }

 private:
  static void OnAccept(evconnlistener* socket, evutil_socket_t fd, sockaddr* peer, int peer_length,
                       void* self);
  void Resume();
  void SetErrorCallback();

  ListenerCallbacks callbacks_;
  int port_ = 0;
  EventHandle resume_timer_;
  EventHandle backlog_timer_;  // after a pause
  Time blocked_since_ = 0;     // when the pauses began that have let connections wait; 0: none has
  std::unique_ptr<evconnlistener, Deleter<evconnlistener_free>> listener_;  // null once closed
};

}  // namespace walnutspur::loop

#endif  // WALNUTSPUR_LOOP_LISTENER_H_
