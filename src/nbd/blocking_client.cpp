#include "nbd/blocking_client.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <iterator>
#include <utility>

#include "loop/address.h"
#include "loop/stream.h"

namespace walnutspur::nbd {
namespace {

constexpr std::size_t kReceiveBytes = 256 << 10;

void SendAll(int fd, const std::string& bytes) {
  for (std::size_t at = 0; at < bytes.size();) {
    const ssize_t size = send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (size < 0 && errno == EINTR) {
      continue;
    }
    if (size <= 0) {
      throw ConnectionError(std::string("cannot send to the server: ") + std::strerror(errno));
    }
    at += static_cast<std::size_t>(size);
  }
}

// Waits until bytes are received, and returns them.
std::string Receive(int fd) {
  std::string bytes(kReceiveBytes, '\0');
  const ssize_t size = recv(fd, bytes.data(), bytes.size(), 0);
  if (size == 0) {
    throw ConnectionError("the server closed the connection");
  }
  if (size < 0) {
    throw ConnectionError(std::string("cannot receive from the server: ") + std::strerror(errno));
  }
  bytes.resize(static_cast<std::size_t>(size));
  return bytes;
}

}  // namespace

BlockingClient::BlockingClient(const std::string& address, const std::string& export_name, int timeout_ms)
    : session_(export_name), timeout_ms_(timeout_ms) {
  try {
    Connect(address);
    CompleteHandshake(address);
  } catch (...) {
    if (fd_ >= 0) {
      close(fd_);
    }
    throw;
  }
}

BlockingClient::~BlockingClient() { close(fd_); }

void BlockingClient::Connect(const std::string& address) {
  const sockaddr_in server = loop::ToSocket(loop::ParseAddress(address));
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd_ < 0 || connect(fd_, reinterpret_cast<const sockaddr*>(&server), sizeof server) != 0) {
    throw ConnectionError("cannot connect to " + address + ": " + std::strerror(errno));
  }
  loop::DisableNagle(fd_);
}

void BlockingClient::CompleteHandshake(const std::string& address) {
  while (!session_.ready()) {
    ReceiveReplies(timeout_ms_);
    if (session_.ended()) {
      throw ConnectionError(address + ": " + session_.error());
    }
  }
}

// Loops because a reply may arrive in parts. During the handshake the function returns once the session is
// ready or has ended.
std::vector<Reply> BlockingClient::ReceiveReplies(int timeout_ms) {
  const bool in_handshake = !session_.ready();
  std::vector<Reply> replies;
  while (replies.empty() && session_.ready() != in_handshake) {
    pollfd polled{fd_, POLLIN, 0};
    if (poll(&polled, 1, timeout_ms) <= 0) {
      if (in_handshake) {
        throw ConnectionError("the server did not complete the handshake within " +
                              std::to_string(timeout_ms) + " ms");
      }
      return {};
    }
    std::string out;
    session_.Feed(Receive(fd_), &out, &replies);
    if (!out.empty()) {
      SendAll(fd_, out);
    }
    if (session_.ended() && in_handshake) {
      break;
    }
    if (session_.ended()) {
      throw ConnectionError("the server violates the NBD protocol: " + session_.error());
    }
  }
  return replies;
}

std::uint64_t BlockingClient::Send(Request request) {
  request.cookie = next_cookie_++;
  std::string out;
  session_.Send(request, &out);
  SendAll(fd_, out);
  return request.cookie;
}

Reply BlockingClient::WaitForReply(std::uint64_t cookie) {
  while (true) {
    const auto at = std::find_if(replies_.begin(), replies_.end(),
                                 [&](const Reply& received) { return received.cookie == cookie; });
    if (at != replies_.end()) {
      Reply reply = std::move(*at);
      replies_.erase(at);
      return reply;
    }
    std::vector<Reply> more = ReceiveReplies(timeout_ms_);
    if (more.empty()) {
      throw ConnectionError("no reply from the server within " + std::to_string(timeout_ms_) + " ms");
    }
    std::move(more.begin(), more.end(), std::back_inserter(replies_));
  }
}

Reply BlockingClient::Read(std::uint64_t offset, std::uint32_t length) {
  Request request;
  request.type = kRead;
  request.offset = offset;
  request.length = length;
  return WaitForReply(Send(std::move(request)));
}

Reply BlockingClient::Write(std::uint64_t offset, std::string data) {
  Request request;
  request.type = kWrite;
  request.offset = offset;
  request.length = static_cast<std::uint32_t>(data.size());
  request.data = std::move(data);
  return WaitForReply(Send(std::move(request)));
}

Reply BlockingClient::Flush() {
  Request request;
  request.type = kFlush;
  return WaitForReply(Send(std::move(request)));
}

std::string DataOf(const Reply& reply) {
  std::string data;
  for (const Piece& piece : reply.pieces) {
    AppendBytes(piece, &data);
  }
  return data;
}

}  // namespace walnutspur::nbd
