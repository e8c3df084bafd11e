// Blocking TCP sockets on 127.0.0.1 for clients and servers that a test plays.
//
// Owner: the test or the stand-in that holds the socket. Thread: one at a time; every wait is bounded.
#ifndef WALNUTSPUR_TESTS_NET_LOOPBACK_SOCKET_H_
#define WALNUTSPUR_TESTS_NET_LOOPBACK_SOCKET_H_

#include <string>
#include <utility>

namespace walnutspur::test {

// Owns a file descriptor and the bytes received on it that nobody has consumed yet.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  Socket(Socket&& other) noexcept
      : received(std::exchange(other.received, "")), fd_(std::exchange(other.fd_, -1)) {}
  Socket& operator=(Socket&& other) noexcept;
  ~Socket() { Close(); }

  // A listening socket on a free port, which is stored in `port`.
  static Socket Listen(int* port);
  // A connection to the port, made on the descriptor `fd` where one is given.
  static Socket Connect(int port, int fd = -1);
  // Takes the next connection of a listening socket.
  Socket Accept() const;

  // Whether a read would not block within `ms` milliseconds.
  bool Readable(int ms) const;
  // Reads more into `received`. False at the end of the stream, which closes the socket, or when nothing
  // came.
  bool Fill(int ms);
  // Sends all of the text; false when the peer takes no more.
  bool Send(const std::string& text) const;
  // Closes with FIN, or with RST where `reset` is set.
  void Close(bool reset = false);

  int fd() const { return fd_; }
  bool open() const { return fd_ >= 0; }

  std::string received;

 private:
  int fd_ = -1;
};

}  // namespace walnutspur::test

#endif  // WALNUTSPUR_TESTS_NET_LOOPBACK_SOCKET_H_
