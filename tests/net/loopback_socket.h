// Provides blocking TCP sockets on 127.0.0.1 for the clients and servers of a test.
//
// Owned by the test or the fake that holds the socket; used by one thread at a time. Every wait is bounded.
#ifndef WALNUTSPUR_TESTS_NET_LOOPBACK_SOCKET_H_
#define WALNUTSPUR_TESTS_NET_LOOPBACK_SOCKET_H_

#include <string>
#include <utility>

namespace walnutspur::test {

// Class Socket owns a file descriptor and the bytes received on it that are not consumed yet.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  Socket(Socket&& other) noexcept
      : received(std::exchange(other.received, "")), fd_(std::exchange(other.fd_, -1)) {}
  Socket& operator=(Socket&& other) noexcept;
  ~Socket() { Close(); }

  // Returns a socket that listens on a free port, and stores the port in `port`.
  static Socket Listen(int* port);
  // Returns a connection to the port. Uses the descriptor `fd` if it is not negative.
  static Socket Connect(int port, int fd = -1);
  // Accepts the next connection of a listening socket.
  Socket Accept() const;

  // Returns whether the socket becomes readable within `ms` milliseconds.
  bool Readable(int ms) const;
  // Waits up to `ms` milliseconds for input and appends it to `received`. Returns false if nothing arrives,
  // or at the end of the stream, which closes the socket.
  bool Fill(int ms);
  // Sends the text. Returns whether all of it was sent.
  bool Send(const std::string& text) const;
  // Shuts down the sending side: the peer reads the end of the stream and may still send.
  void ShutdownSend() const;
  // Closes with FIN, or with RST if `reset` is set.
  void Close(bool reset = false);

  int fd() const { return fd_; }
  bool open() const { return fd_ >= 0; }

  std::string received;

 private:
  int fd_ = -1;
};

}  // namespace walnutspur::test

#endif  // WALNUTSPUR_TESTS_NET_LOOPBACK_SOCKET_H_
