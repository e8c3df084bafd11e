// Formats the responses that an initiator sends to its clients. Plain functions without sockets; any thread.
#ifndef WALNUTSPUR_HTTP_RESPONSE_TEXT_H_
#define WALNUTSPUR_HTTP_RESPONSE_TEXT_H_

#include <string>
#include <string_view>

namespace walnutspur::http {

// Status codes that an initiator sends to clients (RFC 9110, 15).
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

// The rejection of a message: its status, and a one-line error message for the client.
struct Rejection {
  int status = kStatusBadRequest;
  std::string error;
};

// Formats a complete response. `headers`: additional header lines, each with CR LF. `close`: the connection
// is closed after the response, and a "Connection: close" header announces it.
std::string FormatResponse(int status, std::string_view body, std::string_view headers, bool close);

// Formats a header line with CR LF, such as "Content-Digest: VALUE".
std::string HeaderLine(const std::string& name, const std::string& value);

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_RESPONSE_TEXT_H_
