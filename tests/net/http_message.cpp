#include "http_message.h"

namespace walnutspur::test {
namespace {

// Moves a complete message from the front of `bytes` into `message`. Returns false if it is not complete yet.
bool TakeMessage(std::string& bytes, HttpMessage* message) {
  const std::string end_of_headers = "\r\n\r\n";
  const std::size_t end = bytes.find(end_of_headers);
  if (end == std::string::npos) {
    return false;
  }
  HttpMessage parsed;
  parsed.start_line = bytes.substr(0, bytes.find("\r\n"));
  parsed.headers = bytes.substr(parsed.start_line.size(), end + 2 - parsed.start_line.size());
  const std::string length = parsed.Header("Content-Length");
  const std::size_t body_size = length.empty() ? 0 : std::stoul(length);
  const std::size_t body_start = end + end_of_headers.size();
  if (bytes.size() < body_start + body_size) {
    return false;
  }
  parsed.body = bytes.substr(body_start, body_size);
  bytes.erase(0, body_start + body_size);
  *message = parsed;
  return true;
}

}  // namespace

std::string HttpMessage::Header(const std::string& name) const {
  const std::string prefix = "\r\n" + name + ": ";
  const std::size_t at = headers.find(prefix);
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t from = at + prefix.size();
  return headers.substr(from, headers.find("\r\n", from) - from);
}

std::string HttpMessage::Status() const {
  const std::size_t version_size = std::string("HTTP/1.1 ").size();
  return start_line.substr(version_size, 3);
}

bool ReadHttpMessage(Socket& socket, HttpMessage* message, int ms) {
  while (!TakeMessage(socket.received, message)) {
    if (!socket.Fill(ms)) {
      return false;
    }
  }
  return true;
}

}  // namespace walnutspur::test
