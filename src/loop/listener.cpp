#include "loop/listener.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <utility>

#include "core/clock.h"

namespace walnutspur::loop {
namespace {

constexpr Time kPauseDuration = 20'000;  // us

// How long after a pause the backlog may still hold connections that arrived during the pause, us.
constexpr Time kBacklogDuration = 50'000;

constexpr unsigned kSocketFlags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC;

int BoundPort(evutil_socket_t fd) {
  sockaddr_in address{};
  socklen_t length = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}

}  // namespace

Listener::Listener(event_base* base, const Address& address, const ListenerOptions& options,
                   ListenerCallbacks callbacks)
    : base_(base),
      address_(address),
      options_(options),
      callbacks_(std::move(callbacks)),
      resume_timer_(MakeTimer(base, [this] { Resume(); })),
      backlog_timer_(MakeTimer(base, [this] { blocked_since_ = 0; })) {
  Bind();
}

void Listener::Bind() {
  const sockaddr_in socket_address = ToSocket(address_);
  const unsigned flags = kSocketFlags | (options_.reuse_address ? LEV_OPT_REUSEABLE : 0U) |
                         (options_.share_port ? LEV_OPT_REUSEABLE_PORT : 0U);
  listener_.reset(evconnlistener_new_bind(base_, OnAccept, this, flags, options_.backlog,
                                          reinterpret_cast<const sockaddr*>(&socket_address),
                                          sizeof socket_address));
  if (!listener_) {
    throw ListenError(ToString(address_), std::strerror(errno));
  }
  SetErrorCallback();
  port_ = BoundPort(evconnlistener_get_fd(listener_.get()));
}

void Listener::Reopen() {
  address_.port = static_cast<std::uint16_t>(port_);
  Bind();
}

// The sockets of a port are numbered in the order in which they began to listen, from 0. A program that
// returns a number without a socket has no effect.
bool Listener::DirectToNewestSocket() const {
  sock_filter code[] = {{BPF_RET | BPF_K, 0, 0, 1}};
  const sock_fprog program{1, code};
  return setsockopt(evconnlistener_get_fd(listener_.get()), SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, &program,
                    sizeof program) == 0;
}

Listener::Listener(event_base* base, evutil_socket_t bound_socket, const std::string& place, int backlog,
                   ListenerCallbacks callbacks)
    : base_(base),
      callbacks_(std::move(callbacks)),
      resume_timer_(MakeTimer(base, [this] { Resume(); })),
      backlog_timer_(MakeTimer(base, [this] { blocked_since_ = 0; })),
      listener_(evconnlistener_new(base, OnAccept, this, kSocketFlags, backlog, bound_socket)) {
  if (!listener_) {
    throw ListenError(place, std::strerror(errno));
  }
  SetErrorCallback();
}

void Listener::OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
  static_cast<Listener*>(self)->callbacks_.on_accept(fd);
}

// This callback replaces libevent's default, which logs a warning for each error.
void Listener::SetErrorCallback() {
  if (!callbacks_.on_error) {
    return;
  }
  evconnlistener_set_error_cb(listener_.get(), [](evconnlistener*, void* self) {
    static_cast<Listener*>(self)->callbacks_.on_error(EVUTIL_SOCKET_ERROR());
  });
}

void Listener::Pause() {
  if (!listener_) {
    return;
  }
  evconnlistener_disable(listener_.get());
  backlog_timer_.Stop();
  if (blocked_since_ == 0) {
    blocked_since_ = core::Now();
  }
  resume_timer_.Start(kPauseDuration);
}

void Listener::Resume() {
  if (callbacks_.has_capacity && !callbacks_.has_capacity()) {
    Pause();
    return;
  }
  evconnlistener_enable(listener_.get());
  backlog_timer_.Start(kBacklogDuration);
}

Time Listener::MaxBacklogWait() const { return blocked_since_ > 0 ? core::Now() - blocked_since_ : 0; }

void Listener::AcceptPending() {
  if (!listener_) {
    return;
  }
  const evutil_socket_t listening = evconnlistener_get_fd(listener_.get());
  while (true) {
    const evutil_socket_t accepted = accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0) {
      return;
    }
    callbacks_.on_accept(accepted);
  }
}

void Listener::Close() {
  resume_timer_.Stop();
  backlog_timer_.Stop();
  blocked_since_ = 0;
  listener_.reset();
}

}  // namespace walnutspur::loop
