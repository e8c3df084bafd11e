#include "loop/peer.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace walnutspur::loop {
namespace {

constexpr Time kMicrosecondsPerMillisecond = 1'000;

// Two ticks of a kernel's clock with 100 ticks per second, the coarsest in use.
constexpr Time kMinMeasurableTime = 20'000;  // us

// Returns the result of recv() for one byte, which stays in the socket's buffer.
ssize_t PeekByte(evutil_socket_t fd) {
  char byte = 0;
  return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

}  // namespace

bool PeerHasClosed(evutil_socket_t fd) {
  pollfd polled{fd, POLLIN | POLLRDHUP, 0};
  if (poll(&polled, 1, 0) <= 0) {
    return false;
  }
  if (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) {
    return true;
  }
  return (polled.revents & POLLIN) != 0 && PeekByte(fd) == 0;
}

bool HasPendingInput(evutil_socket_t fd) { return PeekByte(fd) >= 0; }

bool HasUnreadBytes(evutil_socket_t fd) {
  int bytes = 0;
  return ioctl(fd, FIONREAD, &bytes) == 0 && bytes > 0;
}

Time TimeSinceLastInput(evutil_socket_t fd) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return 0;
  }
  const Time elapsed = static_cast<Time>(info.tcpi_last_data_recv) * kMicrosecondsPerMillisecond;
  return elapsed >= kMinMeasurableTime ? elapsed : 0;
}

std::size_t UnacknowledgedBytes(evutil_socket_t fd) {
  int bytes = 0;
  return ioctl(fd, SIOCOUTQ, &bytes) == 0 ? static_cast<std::size_t>(bytes) : 0;
}

}  // namespace walnutspur::loop
