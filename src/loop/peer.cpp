#include "loop/peer.h"

#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace walnutspur::loop {
namespace {

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

}  // namespace walnutspur::loop
