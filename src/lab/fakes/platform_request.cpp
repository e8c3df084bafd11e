#include "lab/fakes/platform_request.h"

#include <array>
#include <cinttypes>
#include <cstdio>

#include "http/messages.h"

namespace walnutspur::lab {

std::string FormatPlatformRequest(const PlatformRequest& request) {
  std::string text = request.is_put ? "PUT " : "GET ";
  text += request.path + " HTTP/1.1\r\nHost: service.internal\r\n";
  text += "X-Request-Id: " + FormatId(request.id) + "\r\n";
  text += "X-Class: " + request.request_class + "\r\n";
  text += "X-Plan: " + request.plan + "\r\n";
  text += "X-Deadline: " + http::Seconds(request.deadline) + "\r\n";
  text += "X-IO: units=1,shard=" + std::to_string(request.shard) + ",hosts=1\r\n";
  text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n";
  text += request.body;
  return text;
}

std::string FormatId(std::uint64_t number) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64, number);
  return text.data();
}

}  // namespace walnutspur::lab
