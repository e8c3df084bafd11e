// Formats the responses that an initiator sends to its clients. Plain functions, no sockets; any thread.
#ifndef WALNUTSPUR_HTTP_RESPONSE_TEXT_H_
#define WALNUTSPUR_HTTP_RESPONSE_TEXT_H_

#include <string>
#include <string_view>

namespace walnutspur::http {

// The status codes that clients get from an initiator (RFC 9110, 15).
enum StatusCode : int {
  kStatusOk = 200,
  kStatusBadRequest = 400,
  kStatusMethodNotAllowed = 405,
  kStatusRequestTimeout = 408,
  kStatusConflict = 409,
  kStatusContentTooLarge = 413,
  kStatusHeaderTooLarge = 431,
  kStatusInternalError = 500,
  kStatusBadGateway = 502,
  kStatusUnavailable = 503,
  kStatusGatewayTimeout = 504,
  kStatusVersionNotSupported = 505,
};

// Why a message is not admitted; the reason is one line of text for the client.
struct Rejection {
  int status = kStatusBadRequest;
  std::string reason;
};

// Formats a complete message. `headers`: further header lines, each with its CR LF. `close`: the connection
// ends with it, and its header says so.
std::string FormatResponse(int status, std::string_view body, std::string_view headers, bool close);

// "Content-Digest: VALUE" and the like, with its CR LF.
std::string HeaderLine(const std::string& name, const std::string& value);

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_RESPONSE_TEXT_H_
