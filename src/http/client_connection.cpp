#include "http/client_connection.h"

#include <utility>

#include "core/scheduler_thread.h"
#include "loop/peer.h"

namespace walnutspur::http {
namespace {

// From connecting, or from a request's first byte, until the request must be complete, us.
constexpr Time kRequestTimeout = 2'500'000;

// How long a connection may be idle, us. After a first request for less long: many clients send no other.
constexpr Time kIdleTimeout = 20'000'000;
constexpr Time kFirstIdleTimeout = 2'000'000;

// How long a client may take to read its response, us.
constexpr Time kWriteTimeout = 10'000'000;

// How long a client has after its last response to close the connection itself, us.
constexpr Time kLingerTimeout = 500'000;

// How long a client that was rejected is not read, us.
constexpr Time kRejectPause = 50'000;

// Bytes that are read ahead of the end of the pending request.
constexpr std::size_t kMaxReadAhead = 16 << 10;

// Bytes after the last response that are read and dropped before the connection closes.
constexpr std::size_t kMaxDroppedAtClose = 256 << 10;

// Bytes after a pending request, over all its time, that are read and dropped before the connection closes.
constexpr std::size_t kMaxDroppedSentAhead = 4 << 20;

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

// Each timer bounds a wait that a client could extend without end.
ClientConnection::ClientConnection(event_base* base, std::uint64_t number, loop::StreamPtr stream,
                                   ClientConnectionHandler* handler,
                                   const frontend::ShutdownSequence& shutdown)
    : handler_(handler),
      shutdown_(shutdown),
      number_(number),
      last_active_(core::Now()),
      request_timeout_(
          loop::MakeTimer(base,
                          [this] {
                            Reject({kStatusRequestTimeout, "the request did not become whole in time"});
                          })),
      idle_timeout_(loop::MakeTimer(base, [this] { handler_->Close(*this); })),
      write_timeout_(loop::MakeTimer(base, [this] { handler_->Close(*this); })),
      read_pause_(loop::MakeTimer(base,
                                  [this] {
                                    bufferevent_enable(stream_.get(), EV_READ);
                                    OnReadable();
                                  })),
      linger_timeout_(loop::MakeTimer(base, [this] { handler_->Close(*this); })),
      stream_(std::move(stream)) {
  request_timeout_.Start(kRequestTimeout);  // from connecting on, whatever arrives in the meantime
  loop::SetCallbacks(stream_.get(), this);
  bufferevent_setwatermark(stream_.get(), EV_READ, 0, kMaxReadAhead);
}

void ClientConnection::Enable() { bufferevent_enable(stream_.get(), EV_READ | EV_WRITE); }

void ClientConnection::SetTimeInBacklog(Time longest_wait) {
  if (longest_wait > 0 && HasUnreadBytes()) {
    time_in_backlog_ = longest_wait;
  }
}

void ClientConnection::OnReadable() {
  // Reading may end and destroy this connection.
  const ClientConnectionHandler* handler = handler_;
  const std::uint64_t number = number_;
  while (handler->IsOpen(number) && ReadOne()) {
  }
}

void ClientConnection::ReadAhead() { OnReadable(); }

// Reads up to the end of one request; returns whether to go on. One request is served at a time: what a
// client sends ahead waits in the stream, and beyond its bound is not read.
bool ClientConnection::ReadOne() {
  const std::string_view chunk = loop::FirstInputChunk(stream_.get());
  if (chunk.empty()) {
    return false;
  }
  if (closing_) {
    return DropAfterLastResponse(chunk.size());
  }
  if (pending_request_ != 0 && loop::BufferedInputBytes(stream_.get()) >= kMaxReadAhead) {
    return DropSentAhead();
  }
  const bool paused = (bufferevent_get_enabled(stream_.get()) & EV_READ) == 0;
  if (pending_request_ != 0 || paused) {
    return false;
  }
  if (!reader_.started() && requests_read_ > 0) {
    request_timeout_.Start(kRequestTimeout);
  }
  idle_timeout_.Stop();
  loop::DrainInput(stream_.get(), reader_.Feed(chunk));
  OnRequestProgress();
  return true;
}

void ClientConnection::OnRequestProgress() {
  if (reader_.malformed()) {
    last_response_ = true;  // where the next request would begin is unknown
    Reject({reader_.status(), reader_.error()});
  } else if (reader_.complete()) {
    request_timeout_.Stop();
    ++requests_read_;
    handler_->OnRequest(*this);
  } else if (reader_.expects_continue() && !std::exchange(continue_sent_, true)) {
    loop::Write(stream_.get(), kContinue);
  }
}

// Closing with bytes unread would reset the connection before the client has read its response.
bool ClientConnection::DropAfterLastResponse(std::size_t size) {
  dropped_bytes_ += size;
  loop::DrainInput(stream_.get(), size);
  if (dropped_bytes_ <= kMaxDroppedAtClose) {
    return true;
  }
  handler_->Close(*this);
  return false;
}

// Clients send one request at a time. Of one that sends so much ahead nothing more is served, and its bytes
// are read on: at the bound reading would stop, and that would hide the client's disconnect.
bool ClientConnection::DropSentAhead() {
  last_response_ = true;
  const std::size_t size = loop::BufferedInputBytes(stream_.get());
  dropped_bytes_ += size;
  loop::DrainInput(stream_.get(), size);
  if (dropped_bytes_ > kMaxDroppedSentAhead) {
    handler_->Close(*this);
  }
  return false;
}

// The response is all written; the last one ends the connection.
void ClientConnection::OnWritten() {
  write_timeout_.Stop();
  if (closing_) {
    loop::ShutdownWrites(stream_.get());
  }
}

void ClientConnection::OnEvent(loop::EventMask what) {
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
    handler_->Close(*this);
  }
}

void ClientConnection::Respond(int status, std::string_view body, std::string_view headers) {
  last_response_ = last_response_ || shutdown_.is_draining() || !reader_.keeps_alive();
  const std::string text = FormatResponse(status, body, headers, last_response_);
  reader_ = MessageReader(MessageReader::Kind::kRequest);
  continue_sent_ = false;
  last_active_ = core::Now();
  request_timeout_.Stop();
  if (last_response_) {
    closing_ = true;
    linger_timeout_.Start(kLingerTimeout);
  } else if (!shutdown_.is_scheduled()) {
    idle_timeout_.Start(requests_read_ > 1 ? kIdleTimeout : kFirstIdleTimeout);
  }
  write_timeout_.Start(kWriteTimeout);
  loop::Write(stream_.get(), text);
}

void ClientConnection::Reject(const Rejection& rejection) {
  const int status = rejection.status;
  const bool sent_ahead = loop::BufferedInputBytes(stream_.get()) > 0;
  last_response_ = last_response_ || sent_ahead || status == kStatusRequestTimeout;
  const std::string headers = status == kStatusMethodNotAllowed ? HeaderLine("Allow", "GET, PUT") : "";
  Respond(status, rejection.reason + "\n", headers);
  if (closing_) {
    return;
  }
  bufferevent_disable(stream_.get(), EV_READ);
  read_pause_.Start(kRejectPause);
}

void ClientConnection::ShutDown() {
  closing_ = true;
  request_timeout_.Stop();
  loop::ShutdownWrites(stream_.get());
}

void ClientConnection::ClearPendingRequest() {
  pending_request_ = 0;
  dropped_bytes_ = 0;
}

bool ClientConnection::IsIdle() const {
  return pending_request_ == 0 && !reader_.started() && loop::BufferedInputBytes(stream_.get()) == 0 &&
         loop::UnwrittenBytes(stream_.get()) == 0;
}

bool ClientConnection::HasUnreadBytes() const {
  return loop::HasUnreadBytes(bufferevent_getfd(stream_.get()));
}

bool ClientConnection::IsDisconnected() const {
  return loop::PeerHasClosed(bufferevent_getfd(stream_.get()));
}

frontend::ConnectionActivity ClientConnection::activity() const {
  if (pending_request_ != 0) {
    return frontend::ConnectionActivity::kAwaitingResponse;
  }
  const bool idle = IsIdle() && !HasUnreadBytes();
  return idle ? frontend::ConnectionActivity::kIdle : frontend::ConnectionActivity::kPartialRequest;
}

frontend::EvictionRank ClientConnection::eviction_rank() const {
  if (closing_) {
    return frontend::EvictionRank::kClosing;
  }
  if (requests_read_ == 0) {
    return frontend::EvictionRank::kNoRequestYet;
  }
  if (!IsIdle()) {
    return frontend::EvictionRank::kInUse;
  }
  return requests_read_ == 1 ? frontend::EvictionRank::kIdleAfterOneRequest
                             : frontend::EvictionRank::kIdleAfterManyRequests;
}

}  // namespace walnutspur::http
