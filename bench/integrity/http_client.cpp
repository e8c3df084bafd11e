#include "http_client.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdio>

#include "http/message_reader.h"
#include "loop/address.h"
#include "run.h"

namespace walnutspur::bench {
namespace {

constexpr std::size_t kMaxBodyBytes = 1 << 20;
constexpr std::size_t kReceiveBytes = 65536;
constexpr int kPutAttempts = 50;
constexpr int kRetryInterval = 5;  // ms
constexpr int kOk = 200;
constexpr int kUnavailable = 503;

// 16 hexadecimal digits.
std::string FormatHex(std::uint64_t number) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
  return text.data();
}

}  // namespace

std::string ObjectPath(std::uint64_t key) { return "/api/00000003b4d60021/" + FormatHex(key); }

HttpClient::HttpClient(int port) : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const sockaddr_in address = loop::ToSocket({"127.0.0.1", static_cast<std::uint16_t>(port)});
  if (connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    close(fd_);
    throw BenchError("no HTTP");
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

HttpResponse HttpClient::Request(const char* method, const char* request_class, std::uint64_t key,
                                 const std::string& body) {
  ++id_;
  SendAll(std::string(method) + " " + ObjectPath(key) + " HTTP/1.1\r\nX-Request-Id: " + FormatHex(id_) +
          "\r\nX-Class: " + request_class +
          "\r\nX-Plan: p\r\nX-Deadline: 2.0\r\nX-IO: units=1,shard=0,hosts=1\r\nContent-Length: " +
          std::to_string(body.size()) + "\r\n\r\n" + body);
  return Receive();
}

void HttpClient::SendAll(const std::string& text) const {
  for (std::size_t sent = 0; sent < text.size();) {
    const ssize_t size = send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      throw BenchError("the connection ended");
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
      throw BenchError("the connection ended");
    }
    reader.Feed({bytes.data(), static_cast<std::size_t>(size)});
  }
  return {reader.code(), reader.body()};
}

}  // namespace walnutspur::bench
