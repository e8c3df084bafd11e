#include "lab/fakes/http_response.h"

namespace walnutspur::lab {

std::string FormatHttpResponse(int status, std::string_view body, std::string_view headers) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  text += headers;
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  text += body;
  return text;
}

}  // namespace walnutspur::lab
