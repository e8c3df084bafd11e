#include "loopback_socket.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

#include "lab/fakes/loopback.h"

namespace walnutspur::test {
namespace {

using lab::LoopbackAddress;

constexpr int kListenBacklog = 64;
constexpr std::size_t kReadBytes = 65536;

}  // namespace

Socket& Socket::operator=(Socket&& other) noexcept {
  Close();
  fd_ = std::exchange(other.fd_, -1);
  received = std::exchange(other.received, "");
  return *this;
}

Socket Socket::Listen(int* port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = LoopbackAddress(0);
  socklen_t length = sizeof address;
  REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&address), length) == 0);
  REQUIRE(listen(fd, kListenBacklog) == 0);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  *port = ntohs(address.sin_port);
  return Socket(fd);
}

Socket Socket::Connect(int port, int fd) {
  if (fd < 0) {
    fd = socket(AF_INET, SOCK_STREAM, 0);
  }
  const sockaddr_in address = LoopbackAddress(port);
  REQUIRE(connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
  return Socket(fd);
}

Socket Socket::Accept() const { return Socket(accept(fd_, nullptr, nullptr)); }

bool Socket::Readable(int ms) const {
  pollfd poller{fd_, POLLIN, 0};
  return poll(&poller, 1, ms) > 0;
}

bool Socket::Fill(int ms) {
  if (!open() || !Readable(ms)) {
    return false;
  }
  std::array<char, kReadBytes> chunk;
  const ssize_t size = recv(fd_, chunk.data(), chunk.size(), 0);
  if (size <= 0) {
    Close();
    return false;
  }
  received.append(chunk.data(), static_cast<std::size_t>(size));
  return true;
}

bool Socket::Send(const std::string& text) const {
  return send(fd_, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
}

void Socket::ShutdownSend() const { shutdown(fd_, SHUT_WR); }

void Socket::Close(bool reset) {
  if (!open()) {
    return;
  }
  if (reset) {
    const linger immediately{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
  }
  close(std::exchange(fd_, -1));
}

}  // namespace walnutspur::test
