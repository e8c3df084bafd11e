// HTTP/1.1 messages as a test reads them from a socket, and the requests that several tests send.
//
// Deliberately naive: it parses only what well-formed peers send, so that it shares no code with the
// initiator.
#ifndef WALNUTSPUR_TESTS_NET_HTTP_MESSAGE_H_
#define WALNUTSPUR_TESTS_NET_HTTP_MESSAGE_H_

#include <string>

#include "loopback_socket.h"

namespace walnutspur::test {

// The path of an object as the platform writes it: volume and object in hexadecimal.
inline const std::string kObjectPath = "/api/00000003b4d60021/7f3a9c21e0b4d655";

// A request that the initiator answers itself.
inline const std::string kReadinessRequest = "GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n";

// A request or a response with a body of Content-Length bytes.
struct HttpMessage {
  std::string start_line;
  std::string headers;  // from the first line's CRLF to the last header's, both included
  std::string body;

  // The value of a header, by its exact name; empty where it is absent.
  std::string Header(const std::string& name) const;
  // The status code of a response, as text.
  std::string Status() const;
};

// A request and the status that rejects it.
struct RejectedRequest {
  std::string text;
  const char* status;
};

// Reads one message, waiting up to `ms` milliseconds for each piece of it. False where it does not get all of
// it.
bool ReadHttpMessage(Socket& socket, HttpMessage* message, int ms);

}  // namespace walnutspur::test

#endif  // WALNUTSPUR_TESTS_NET_HTTP_MESSAGE_H_
