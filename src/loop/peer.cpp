#include "loop/peer.h"

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>

namespace walnutspur::loop {

bool PeerHasClosed(evutil_socket_t fd) {
  pollfd polled{fd, POLLIN | POLLRDHUP, 0};
  if (poll(&polled, 1, 0) <= 0) return false;
  if (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) return true;
  char byte;
  return (polled.revents & POLLIN) && recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

}  // namespace walnutspur::loop
