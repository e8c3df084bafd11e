// Class BlockingClient is an NBD client whose calls block until the reply arrives. It is meant for
// command-line tools, benchmarks and tests, and must not be used on the event loop. It owns its socket; only
// one thread at a time may use it.
#ifndef WALNUTSPUR_NBD_BLOCKING_CLIENT_H_
#define WALNUTSPUR_NBD_BLOCKING_CLIENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "nbd/client_session.h"
#include "nbd/error.h"
#include "nbd/protocol.h"

namespace walnutspur::nbd {

// Default limit of the wait for each message of the server, ms.
constexpr int kDefaultTimeoutMs = 5000;

class BlockingClient {
 public:
  // Connects and completes the handshake. `timeout_ms` limits the wait for each message of the server.
  // Throws ConnectionError with a one-line message, or loop::AddressError if the address is malformed.
  BlockingClient(const std::string& address, const std::string& export_name,
                 int timeout_ms = kDefaultTimeoutMs);
  ~BlockingClient();
  BlockingClient(const BlockingClient&) = delete;
  BlockingClient& operator=(const BlockingClient&) = delete;

  // Returns the size of the export in bytes.
  std::uint64_t size() const { return session_.size(); }

  // Send one command and wait for its reply. Throw ConnectionError if the connection is closed or after
  // the timeout.
  Reply Read(std::uint64_t offset, std::uint32_t length);
  Reply Write(std::uint64_t offset, std::string data);
  Reply Flush();

  // Sends a command without waiting for its reply, and returns its cookie.
  std::uint64_t Send(Request request);
  // Waits for the next replies and returns them; returns an empty vector if none arrives within `timeout_ms`.
  // Throws ConnectionError if the connection is closed.
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
  std::vector<Reply> replies_;  // received while WaitForReply waited for another cookie
};

// Returns the data of a read's reply, with holes filled with zeros.
std::string DataOf(const Reply& reply);

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_BLOCKING_CLIENT_H_
