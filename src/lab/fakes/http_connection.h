// A connection accepted by a fake server, which carries HTTP requests one after another.
//
// Owned by the fake server; runs on the thread of its event loop.
#ifndef WALNUTSPUR_LAB_FAKES_HTTP_CONNECTION_H_
#define WALNUTSPUR_LAB_FAKES_HTTP_CONNECTION_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "http/message_reader.h"
#include "loop/loop.h"
#include "loop/stream.h"

namespace walnutspur::lab {

class HttpConnection;

// Handles the events of accepted connections. Each callback may destroy the connection.
class HttpConnectionHandler {
 public:
  // The request in connection.request() is complete.
  virtual void OnRequest(HttpConnection& connection) = 0;
  // The peer has closed the connection, or the connection has failed.
  virtual void OnClosed(HttpConnection& connection) = 0;

 protected:
  ~HttpConnectionHandler() = default;
};

class HttpConnection {
 public:
  // Takes over an accepted socket. `handler` must outlive the connection.
  HttpConnection(event_base* base, evutil_socket_t fd, std::uint64_t number, HttpConnectionHandler* handler);

  std::uint64_t number() const { return number_; }
  // Returns the request that is being read, or the last one read.
  const http::MessageReader& request() const { return request_; }
  // Returns the time at which the first bytes of that request arrived, us; also if this loop read them later.
  Time request_started_at() const { return request_started_at_; }
  // Returns the time at which the first byte of that request was read, us.
  Time request_read_at() const { return request_read_at_; }

  void Write(std::string_view bytes) { loop::Write(stream_.get(), bytes); }
  // Writes a response with this status and a body of fixed length.
  void Respond(int status, std::string_view body, std::string_view headers = {});
  // Starts to read the next request. Call it after the response to the last one.
  void ReadNext();
  // Sets SO_LINGER to 0, so that the connection is reset when it is closed.
  void ResetOnClose();

  // Callbacks of the stream.
  void OnReadable();
  void OnEvent(loop::EventMask events);

 private:
  HttpConnectionHandler* handler_;
  std::uint64_t number_;
  bool is_reading_ = true;
  Time request_started_at_ = 0;
  Time request_read_at_ = 0;
  http::MessageReader request_{http::MessageReader::Kind::kRequest};
  loop::StreamPtr stream_;
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_FAKES_HTTP_CONNECTION_H_
