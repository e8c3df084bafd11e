// A client of NBD that waits: for tools, stand-ins and tests, not for the program's loop. One thread may use
// one.
#ifndef WALNUTSPUR_NBD_BLOCKING_CLIENT_H_
#define WALNUTSPUR_NBD_BLOCKING_CLIENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "nbd/codec.h"

namespace walnutspur::nbd {

class BlockingClient {
 public:
  // Connects and goes through the handshake; throws std::runtime_error with one line.
  BlockingClient(const std::string& address, const std::string& export_name, int patience_ms = 5000);
  ~BlockingClient();
  BlockingClient(const BlockingClient&) = delete;
  BlockingClient& operator=(const BlockingClient&) = delete;

  std::uint64_t size() const { return session_.size(); }

  // Each waits for its answer; a connection that ends, or stays silent too long, throws std::runtime_error.
  Reply Read(std::uint64_t offset, std::uint32_t length);
  Reply Write(std::uint64_t offset, std::string data);
  Reply Flush();

  // Sends without waiting, and takes answers as they come.
  std::uint64_t Send(Request request);
  std::vector<Reply> Take(int wait_ms);  // empty: none came in time
  int fd() const { return fd_; }

 private:
  Reply Wait(std::uint64_t cookie);
  void Put(const std::string& bytes);

  ClientSession session_;
  int fd_ = -1;
  int patience_;
  std::uint64_t cookie_ = 1;
  std::vector<Reply> replies_;
};

// The bytes of a read's pieces; holes are zeros.
std::string DataOf(const Reply& reply);

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_BLOCKING_CLIENT_H_
