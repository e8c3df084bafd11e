#include "lab/fakes/management_client.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>

namespace walnutspur::lab {
namespace {

constexpr timeval kReplyTimeout{1, 0};
constexpr std::size_t kReadBytes = 1024;

std::string ReceiveLine(int fd) {
  std::string received;
  std::array<char, kReadBytes> buffer{};
  while (received.find('\n') == std::string::npos) {
    const ssize_t size = recv(fd, buffer.data(), buffer.size(), 0);
    if (size <= 0) {
      return {};
    }
    received.append(buffer.data(), static_cast<std::size_t>(size));
  }
  return received.substr(0, received.find('\n'));
}

}  // namespace

std::string CallManagement(const loop::Address& address, const std::string& line) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &kReplyTimeout, sizeof kReplyTimeout);
  const sockaddr_in socket_address = loop::ToSocket(address);
  const std::string text = line + "\n";
  std::string reply;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&socket_address), sizeof socket_address) == 0 &&
      send(fd, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size())) {
    reply = ReceiveLine(fd);
  }
  close(fd);
  return reply;
}

}  // namespace walnutspur::lab
