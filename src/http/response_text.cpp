#include "http/response_text.h"

namespace walnutspur::http {
namespace {

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

std::string HeaderLine(const std::string& name, const std::string& value) {
  return name + ": " + value + "\r\n";
}

}  // namespace walnutspur::http
