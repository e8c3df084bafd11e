// Reads HTTP/1.1 messages from a test's socket, and defines requests that several tests send.
//
// The parser accepts only well-formed messages and is deliberately simple, so that it shares no code with the
// initiator.
#ifndef WALNUTSPUR_TESTS_NET_HTTP_MESSAGE_H_
#define WALNUTSPUR_TESTS_NET_HTTP_MESSAGE_H_

#include <string>

#include "loopback_socket.h"

namespace walnutspur::test {

// The path of an object in the platform's format: volume and object in hexadecimal.
inline const std::string kObjectPath = "/api/00000003b4d60021/7f3a9c21e0b4d655";

// A readiness check, to which the initiator itself responds.
inline const std::string kReadinessRequest = "GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n";

// A request or a response with a body of Content-Length bytes.
struct HttpMessage {
  std::string start_line;
  std::string headers;  // from the start line's CR LF to the last header's, inclusive
  std::string body;

  // Returns the value of the header with exactly this name; empty if it is absent.
  std::string Header(const std::string& name) const;
  // Returns the status code of a response as text.
  std::string Status() const;
};

// An invalid request and the status that it is rejected with.
struct RejectedRequest {
  std::string text;
  const char* status;
};

// Reads one message, waiting up to `ms` milliseconds for each piece. Returns whether the message is complete.
bool ReadHttpMessage(Socket& socket, HttpMessage* message, int ms);

}  // namespace walnutspur::test

#endif  // WALNUTSPUR_TESTS_NET_HTTP_MESSAGE_H_
