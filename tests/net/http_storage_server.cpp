// Implements the HTTP storage server of a scenario.
#include <doctest/doctest.h>

#include "scenario_limits.h"
#include "storage_server.h"

namespace walnutspur::test {
namespace {

// Returns the status line without the version, and the headers that belong to the status.
std::string StatusAndHeaders(const std::string& kind) {
  if (kind == "ok" || kind == "ok-and-more" || kind == "huge") {
    return "200 OK";
  }
  if (kind == "busy") {
    return "503 Busy\r\nX-Not-Run: 1";
  }
  if (kind == "busy-may-have") {
    return "503 Busy";
  }
  return kind == "ok-and-closes" ? "200 OK\r\nConnection: close" : "500 Error";
}

}  // namespace

std::optional<ServerEvent> HttpStorageServer::TakeRequest(Connection& connection) {
  if (connection.socket.received.find("\r\n\r\n") == std::string::npos) {
    return std::nullopt;
  }
  REQUIRE(ReadHttpMessage(connection.socket, &http_request_, kScenarioTimeoutMs));
  return http_request_.start_line.starts_with("PUT") ? ServerEvent::kWrite : ServerEvent::kRead;
}

std::string HttpStorageServer::Response(const std::string& kind) {
  if (kind == "noise") {
    return {"\0noise\r\n\r\n", 10};
  }
  const std::string body = kind.starts_with("ok") && kind != "ok-and-closes" ? "stored" : "";
  const std::string length = kind == "huge" ? "3000000000" : std::to_string(body.size());
  const std::string surplus = kind == "ok-and-more" ? "m" : "";
  return "HTTP/1.1 " + StatusAndHeaders(kind) + "\r\nContent-Length: " + length +
         "\r\nX-Load: {\"queue\":2}\r\nX-Volume-Use: 40\r\n\r\n" + body + surplus;
}

}  // namespace walnutspur::test
