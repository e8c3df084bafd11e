// Accepts connections on a listening socket: RAII over libevent's evconnlistener. The listener can pause, so
// that the event loop does not spin on a readable socket while there is no capacity or no file descriptor
// left.
//
// Used on the thread of its event loop only, which also runs the callbacks; the owner must outlive the
// listener.
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

// Thrown if a socket cannot listen. what(): "cannot listen at PLACE: REASON".
class ListenError : public std::runtime_error {
 public:
  ListenError(const std::string& place, const std::string& reason)
      : std::runtime_error("cannot listen at " + place + ": " + reason), reason_(reason) {}
  // Returns only the system's message.
  const std::string& reason() const { return reason_; }

 private:
  std::string reason_;
};

struct ListenerOptions {
  int backlog = -1;           // connections that the kernel may queue; -1: libevent's default
  bool reuse_address = true;  // SO_REUSEADDR
  bool share_port = false;    // SO_REUSEPORT: several processes of a user may listen at the address
};

struct ListenerCallbacks {
  // Takes ownership of an accepted, non-blocking socket.
  std::function<void(evutil_socket_t fd)> on_accept;
  // Called with errno when accept() fails, for example for lack of file descriptors. Empty: libevent logs the
  // error.
  std::function<void(int error)> on_error;
  // Returns whether another connection can be accepted; called at the end of a pause. Empty: always true.
  std::function<bool()> has_capacity;
};

class Listener {
 public:
  // Binds to the address and listens. Throws ListenError, or AddressError if the host is not numeric.
  Listener(event_base* base, const Address& address, const ListenerOptions& options,
           ListenerCallbacks callbacks);
  // Listens on a bound, non-blocking socket and takes ownership of it. If that fails, throws ListenError,
  // which names `place`; the caller still owns the socket then.
  Listener(event_base* base, evutil_socket_t bound_socket, const std::string& place, int backlog,
           ListenerCallbacks callbacks);
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // Stops accepting for 20 ms, and after that until there is capacity.
  void Pause();
  // Accepts all connections in the kernel's backlog at once.
  void AcceptPending();
  // Returns the longest time that a connection accepted now may have waited in the kernel's backlog because
  // of pauses, us.
  Time MaxBacklogWait() const;
  // Directs new connections to the newest of the two sockets that share this port, so that this one can be
  // closed without resetting a connection that is being established. Returns whether the system does that.
  bool DirectToNewestSocket() const;
  // Closes the socket. After that Close, Pause and AcceptPending have no effect.
  void Close();
  // Listens again at the same address and port after Close. Throws ListenError. Only for a listener that was
  // constructed with an address.
  void Reopen();
  bool is_open() const { return listener_ != nullptr; }

  // Returns the port that the socket is bound to; 0 for a socket that was passed in.
  int port() const { return port_; }

 private:
  static void OnAccept(evconnlistener* socket, evutil_socket_t fd, sockaddr* peer, int peer_length,
                       void* self);
  void Resume();
  void SetErrorCallback();
  void Bind();

  event_base* base_;
  Address address_;
  ListenerOptions options_;
  ListenerCallbacks callbacks_;
  int port_ = 0;
  EventHandle resume_timer_;
  EventHandle backlog_timer_;  // after a pause, until the backlog is empty again
  Time blocked_since_ = 0;     // begin of the pauses that keep connections waiting; 0: none
  std::unique_ptr<evconnlistener, Deleter<evconnlistener_free>> listener_;  // null once closed
};

}  // namespace walnutspur::loop

#endif  // WALNUTSPUR_LOOP_LISTENER_H_
