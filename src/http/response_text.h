// Formats the responses that an initiator sends to its clients. Plain functions without sockets; any thread.
#ifndef WALNUTSPUR_HTTP_RESPONSE_TEXT_H_
#define WALNUTSPUR_HTTP_RESPONSE_TEXT_H_

#include <cstdint>
#include <optional>
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

// Formats the head of a response with status 200 whose body is sent later. Without a length the body has the
// chunked framing, or ends with the connection if `chunked` is false.
std::string FormatStreamHead(std::optional<std::uint64_t> length, bool chunked, std::string_view headers,
                             bool close);
// Formats a part of a chunked body, and its end.
std::string FormatChunk(std::string_view bytes);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

// Formats a header line with CR LF, such as "Content-Digest: VALUE".
std::string HeaderLine(const std::string& name, const std::string& value);

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_RESPONSE_TEXT_H_
