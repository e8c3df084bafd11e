#include "http/response_text.h"

#include <array>
#include <charconv>
#include <cstddef>

namespace walnutspur::http {
namespace {

// Maximum number of hexadecimal digits of a chunk's size.
constexpr std::size_t kMaxChunkSizeDigits = 16;

const char* ReasonPhrase(int status) {
  switch (status) {
    case kStatusOk:
      return "OK";
    case kStatusBadRequest:
      return "Bad Request";
    case kStatusMethodNotAllowed:
      return "Method Not Allowed";
    case kStatusRequestTimeout:
      return "Request Timeout";
    case kStatusConflict:
      return "Conflict";
    case kStatusContentTooLarge:
      return "Content Too Large";
    case kStatusHeaderTooLarge:
      return "Request Header Fields Too Large";
    case kStatusInternalError:
      return "Internal Server Error";
    case kStatusUnavailable:
      return "Service Unavailable";
    case kStatusGatewayTimeout:
      return "Gateway Timeout";
    case kStatusVersionNotSupported:
      return "HTTP Version Not Supported";
    default:
      return "Error";
  }
}

}  // namespace

std::string FormatResponse(int status, std::string_view body, std::string_view headers, bool close) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " " + ReasonPhrase(status) + "\r\n";
  text += HeaderLine("Content-Type", "application/octet-stream");
  text += HeaderLine("Content-Length", std::to_string(body.size()));
  text += headers;
  if (close) {
    text += HeaderLine("Connection", "close");
  }
  text += "\r\n";
  text += body;
  return text;
}

std::string FormatStreamHead(std::optional<std::uint64_t> length, bool chunked, std::string_view headers,
                             bool close) {
  std::string text = "HTTP/1.1 200 OK\r\n" + HeaderLine("Content-Type", "application/octet-stream");
  if (length) {
    text += HeaderLine("Content-Length", std::to_string(*length));
  } else if (chunked) {
    text += HeaderLine("Transfer-Encoding", "chunked");
  }
  text += headers;
  if (close) {
    text += HeaderLine("Connection", "close");
  }
  return text + "\r\n";
}

std::string FormatChunk(std::string_view bytes) {
  std::array<char, kMaxChunkSizeDigits> digits{};
  const char* const end = std::to_chars(digits.data(), digits.data() + digits.size(), bytes.size(), 16).ptr;
  std::string chunk(digits.data(), static_cast<std::size_t>(end - digits.data()));
  chunk += "\r\n";
  chunk += bytes;
  chunk += "\r\n";
  return chunk;
}

std::string HeaderLine(const std::string& name, const std::string& value) {
  return name + ": " + value + "\r\n";
}

}  // namespace walnutspur::http
