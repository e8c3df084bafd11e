#include "http_client.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/message_reader.h"
#include "lab/fakes/loopback.h"
#include "lab/fakes/platform_request.h"
#include "run.h"

namespace walnutspur::bench {
namespace {

constexpr std::size_t kMaxBodyBytes = 1 << 20;
constexpr std::size_t kReceiveBytes = 65536;
constexpr int kPutAttempts = 50;
constexpr int kRetryInterval = 5;      // ms
constexpr Time kDeadline = 2'000'000;  // us
constexpr int kOk = 200;
constexpr int kUnavailable = 503;

}  // namespace

std::string ObjectPath(std::uint64_t key) { return "/api/00000003b4d60021/" + lab::FormatId(key); }

HttpClient::HttpClient(int port) : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const sockaddr_in address = lab::LoopbackAddress(port);
  if (connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    close(fd_);
    throw BenchError("cannot connect to HTTP port " + std::to_string(port));
  }
}

HttpClient::~HttpClient() { close(fd_); }

bool HttpClient::PutWithRetry(std::uint64_t key, const std::string& body) {
  for (int i = 0; i < kPutAttempts; ++i) {
    const int code = Put(key, body).code;
    if (code == kOk) {
      return true;
    }
    if (code != kUnavailable) {
      return false;
    }
    poll(nullptr, 0, kRetryInterval);
  }
  return false;
}

HttpResponse HttpClient::Request(bool is_put, std::uint64_t key, const std::string& body) {
  lab::PlatformRequest request;
  request.is_put = is_put;
  request.path = ObjectPath(key);
  request.id = ++id_;
  request.request_class = is_put ? "write" : "read";
  request.plan = "p";
  request.deadline = kDeadline;
  request.body = body;
  SendAll(lab::FormatPlatformRequest(request));
  return Receive();
}

void HttpClient::SendAll(const std::string& text) const {
  for (std::size_t sent = 0; sent < text.size();) {
    const ssize_t size = send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      throw BenchError("the connection was closed before the request was sent");
    }
    sent += static_cast<std::size_t>(size);
  }
}

HttpResponse HttpClient::Receive() const {
  http::MessageReader reader(http::MessageReader::Kind::kResponse, kMaxBodyBytes);
  std::string bytes(kReceiveBytes, '\0');
  while (!reader.complete() && !reader.malformed()) {
    const ssize_t size = recv(fd_, bytes.data(), bytes.size(), 0);
    if (size <= 0) {
      throw BenchError("the connection was closed before the response was complete");
    }
    reader.Feed({bytes.data(), static_cast<std::size_t>(size)});
  }
  return {reader.code(), reader.body()};
}

}  // namespace walnutspur::bench
