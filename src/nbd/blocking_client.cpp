#include "nbd/blocking_client.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "loop/address.h"

namespace walnutspur::nbd {

BlockingClient::BlockingClient(const std::string& address, const std::string& export_name, int patience_ms)
    : session_(export_name), patience_(patience_ms) {
  const sockaddr_in to = loop::ToSocket(loop::ParseAddress(address));
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  try {
    if (fd_ < 0 || connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
      throw std::runtime_error("cannot connect to " + address + ": " + std::strerror(errno));
    }
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    while (!session_.ready()) {
      Take(patience_);
      if (session_.ended()) {
        throw std::runtime_error(address + ": " + session_.why());
      }
    }
  } catch (...) {
    if (fd_ >= 0) {
      close(fd_);
    }
    throw;
  }
}

BlockingClient::~BlockingClient() { close(fd_); }

void BlockingClient::Put(const std::string& bytes) {
  for (std::size_t at = 0; at < bytes.size();) {
    const ssize_t size = send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (size < 0 && errno == EINTR) {
      continue;
    }
    if (size <= 0) {
      throw std::runtime_error("the connection ended");
    }
    at += static_cast<std::size_t>(size);
  }
}

std::vector<Reply> BlockingClient::Take(int wait_ms) {
  const bool handshake = !session_.ready();
  std::vector<Reply> replies;
  while (replies.empty() && session_.ready() != handshake) {  // an answer may come in parts
    pollfd poller{fd_, POLLIN, 0};
    if (poll(&poller, 1, wait_ms) <= 0) {
      if (handshake) {
        throw std::runtime_error("the handshake stalls");
      }
      return {};
    }
    std::string bytes(256 << 10, '\0');
    const ssize_t size = recv(fd_, bytes.data(), bytes.size(), 0);
    if (size <= 0) {
      throw std::runtime_error("the connection ended");
    }
    bytes.resize(static_cast<std::size_t>(size));
    std::string out;
    session_.Feed(bytes, &out, &replies);
    if (!out.empty()) {
      Put(out);
    }
    if (session_.ended() && handshake) {
      break;
    }
    if (session_.ended()) {
      throw std::runtime_error("the server does not speak NBD: " + session_.why());
    }
  }
  return replies;
}

std::uint64_t BlockingClient::Send(Request request) {
  request.cookie = cookie_++;
  std::string out;
  session_.Send(request, &out);
  Put(out);
  return request.cookie;
}

Reply BlockingClient::Wait(std::uint64_t cookie) {
  while (true) {
    const auto at =
        std::find_if(replies_.begin(), replies_.end(), [&](const Reply& r) { return r.cookie == cookie; });
    if (at != replies_.end()) {
      Reply reply = std::move(*at);
      replies_.erase(at);
      return reply;
    }
    std::vector<Reply> more = Take(patience_);
    if (more.empty()) {
      throw std::runtime_error("no answer in time");
    }
    std::move(more.begin(), more.end(), std::back_inserter(replies_));
  }
}

Reply BlockingClient::Read(std::uint64_t offset, std::uint32_t length) {
  Request request;
  request.type = kRead;
  request.offset = offset;
  request.length = length;
  return Wait(Send(std::move(request)));
}

Reply BlockingClient::Write(std::uint64_t offset, std::string data) {
  Request request;
  request.type = kWrite;
  request.offset = offset;
  request.length = static_cast<std::uint32_t>(data.size());
  request.data = std::move(data);
  return Wait(Send(std::move(request)));
}

Reply BlockingClient::Flush() {
  Request request;
  request.type = kFlush;
  return Wait(Send(std::move(request)));
}

std::string DataOf(const Reply& reply) {
  std::string data;
  for (const Piece& piece : reply.pieces) {
    piece.hole > 0 ? data.append(piece.hole, '\0') : data.append(piece.data);
  }
  return data;
}

}  // namespace walnutspur::nbd
