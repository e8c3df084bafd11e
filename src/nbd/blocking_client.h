// An NBD client whose calls wait for their replies: for tools, simulators and tests, not for the event loop.
// It owns its socket; one thread at a time may use it.
#ifndef WALNUTSPUR_NBD_BLOCKING_CLIENT_H_
#define WALNUTSPUR_NBD_BLOCKING_CLIENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "nbd/client_session.h"
#include "nbd/error.h"
#include "nbd/protocol.h"

namespace walnutspur::nbd {

// How long a call waits for each of the server's messages unless the caller says otherwise, ms.
constexpr int kDefaultTimeoutMs = 5000;

class BlockingClient {
 public:
  // Connects and completes the handshake. `timeout_ms` bounds the wait for each of the server's messages.
  // Throws ConnectionError with a message of one line, or loop::AddressError.
  BlockingClient(const std::string& address, const std::string& export_name,
                 int timeout_ms = kDefaultTimeoutMs);
  ~BlockingClient();
  BlockingClient(const BlockingClient&) = delete;
  BlockingClient& operator=(const BlockingClient&) = delete;

  // Bytes of the export.
  std::uint64_t size() const { return session_.size(); }

  // Each sends one command and waits for its reply. Throws ConnectionError if the connection ends or the
  // timeout expires.
  Reply Read(std::uint64_t offset, std::uint32_t length);
  Reply Write(std::uint64_t offset, std::string data);
  Reply Flush();

  // Sends a command without waiting for its reply; returns its cookie.
  std::uint64_t Send(Request request);
  // The next replies to arrive; empty if none arrives in time. Throws ConnectionError if the connection ends.
  std::vector<Reply> ReceiveReplies(int timeout_ms);
  int fd() const { return fd_; }

 private:
  void Connect(const std::string& address);
  void CompleteHandshake(const std::string& address);
  Reply WaitForReply(std::uint64_t cookie);

  ClientSession session_;
  int fd_ = -1;
  int timeout_ms_;
  std::uint64_t next_cookie_ = 1;
  std::vector<Reply> replies_;  // received while waiting for another
};

// The bytes of a read's pieces, holes as zeros.
std::string DataOf(const Reply& reply);

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_BLOCKING_CLIENT_H_
