#include "lab/fakes/http_connection.h"

#include <sys/socket.h>

#include "core/clock.h"
#include "lab/fakes/http_response.h"
#include "loop/peer.h"

namespace walnutspur::lab {

HttpConnection::HttpConnection(event_base* base, evutil_socket_t fd, std::uint64_t number,
                               HttpConnectionHandler* handler)
    : handler_(handler), number_(number), stream_(loop::AdoptSocket(base, fd)) {
  loop::DisableNagle(fd);
  loop::SetCallbacks(stream_.get(), this);
  bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
}

void HttpConnection::Respond(int status, std::string_view body, std::string_view headers) {
  Write(FormatHttpResponse(status, body, headers));
}

void HttpConnection::ReadNext() {
  request_ = http::MessageReader(http::MessageReader::Kind::kRequest);
  is_reading_ = true;
  OnReadable();
}

void HttpConnection::ResetOnClose() {
  const linger at_once{1, 0};
  setsockopt(bufferevent_getfd(stream_.get()), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

void HttpConnection::OnReadable() {
  while (is_reading_) {
    const std::string_view chunk = loop::FirstInputChunk(stream_.get());
    if (chunk.empty()) {
      return;
    }
    if (!request_.started()) {
      request_read_at_ = core::Now();
      request_started_at_ = request_read_at_ - loop::TimeSinceLastInput(bufferevent_getfd(stream_.get()));
    }
    loop::DrainInput(stream_.get(), request_.Feed(chunk));
    if (request_.malformed()) {
      handler_->OnClosed(*this);
      return;
    }
    if (request_.complete()) {
      is_reading_ = false;
      handler_->OnRequest(*this);
      return;
    }
  }
}

void HttpConnection::OnEvent(loop::EventMask events) {
  if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    handler_->OnClosed(*this);
  }
}

}  // namespace walnutspur::lab
