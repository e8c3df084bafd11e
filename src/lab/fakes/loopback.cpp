#include "lab/fakes/loopback.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>

#include "core/clock.h"

namespace walnutspur::lab {
namespace {

constexpr const char* kLoopbackHost = "127.0.0.1";
constexpr int kConnectInterval = 2;  // ms between attempts to connect
constexpr unsigned kHosts = 250;     // in each part of an address

int MakeSocket() { return socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0); }

bool CanConnect(const loop::Address& address) {
  const sockaddr_in socket_address = loop::ToSocket(address);
  const int fd = MakeSocket();
  const bool connected =
      connect(fd, reinterpret_cast<const sockaddr*>(&socket_address), sizeof socket_address) == 0;
  close(fd);
  return connected;
}

}  // namespace

sockaddr_in LoopbackAddress(int port) {
  return loop::ToSocket({kLoopbackHost, static_cast<std::uint16_t>(port)});
}

std::string FormatLoopbackAddress(int port) {
  return loop::ToString({kLoopbackHost, static_cast<std::uint16_t>(port)});
}

int FreePort() {
  sockaddr_in address = LoopbackAddress(0);
  socklen_t length = sizeof address;
  const int fd = MakeSocket();
  const bool bound = bind(fd, reinterpret_cast<sockaddr*>(&address), length) == 0 &&
                     getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length) == 0;
  close(fd);
  if (!bound) {
    throw LoopbackError("no free TCP port on 127.0.0.1");
  }
  return ntohs(address.sin_port);
}

loop::Address UniqueLoopbackAddress() {
  static std::atomic<unsigned> count{0};
  const unsigned number = ++count;
  const unsigned process = 1 + static_cast<unsigned>(getpid()) % kHosts;
  const std::string host = "127." + std::to_string(process) + "." +
                           std::to_string(1 + number / kHosts % kHosts) + "." +
                           std::to_string(1 + number % kHosts);
  return {host, static_cast<std::uint16_t>(FreePort())};
}

bool WaitForListener(const loop::Address& address, Time timeout) {
  const Time end = core::Now() + timeout;
  while (!CanConnect(address)) {
    if (core::Now() > end) {
      return false;
    }
    poll(nullptr, 0, kConnectInterval);
  }
  return true;
}

bool WaitForListener(int port, Time timeout) {
  return WaitForListener({kLoopbackHost, static_cast<std::uint16_t>(port)}, timeout);
}

}  // namespace walnutspur::lab
