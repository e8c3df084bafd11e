#include "http/client_connection.h"

#include <utility>

#include "core/scheduler_thread.h"
#include "loop/peer.h"

namespace walnutspur::http {
namespace {

// Minimum number of bytes of a request's body that must arrive in each ClientTimeouts::request.
constexpr std::size_t kMinBodyBytes = 40'000;

// Time in which the loop reads what has arrived before the request's timeout, us.
constexpr Time kUnreadInputTime = 100'000;

// Maximum number of bytes of a streamed response that the client has not read. Beyond it no further request
// is read either.
constexpr std::size_t kMaxUnwrittenBytes = 16 << 10;

// Maximum number of pieces of input that are processed before the loop turns to other connections.
constexpr int kMaxPiecesPerTurn = 32;

// Memory of each connection's request that needs no reservation, bytes: usual requests fit into it.
constexpr std::size_t kUnreservedBytes = 4 << 10;

// Pause in reading after a rejected request, us.
constexpr Time kRejectPause = 50'000;

// Maximum number of bytes that are buffered while a request is pending.
constexpr std::size_t kMaxReadAhead = 16 << 10;

// Maximum number of bytes discarded after the last response. Beyond it the connection is closed.
constexpr std::size_t kMaxDiscardedAtClose = 256 << 10;

// Maximum number of bytes discarded while one request is pending. Beyond it the connection is closed.
constexpr std::size_t kMaxDiscardedPipelined = 4 << 20;

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

// Each timer limits a wait that a client could otherwise extend indefinitely.
ClientConnection::ClientConnection(event_base* base, std::uint64_t number, loop::StreamPtr stream,
                                   ClientConnectionHandler* handler,
                                   const frontend::ShutdownSequence& shutdown, const ClientTimeouts& timeouts)
    : handler_(handler),
      shutdown_(shutdown),
      timeouts_(timeouts),
      number_(number),
      last_active_(core::Now()),
      request_timeout_(loop::MakeTimer(base, [this] { OnRequestTimeout(); })),
      idle_timeout_(loop::MakeTimer(base, [this] { handler_->Close(*this); })),
      write_timeout_(loop::MakeTimer(base, [this] { OnWriteTimeout(); })),
      read_pause_(loop::MakeTimer(base,
                                  [this] {
                                    bufferevent_enable(stream_.get(), EV_READ);
                                    OnReadable();
                                  })),
      linger_timeout_(loop::MakeTimer(base, [this] { handler_->Close(*this); })),
      stream_(std::move(stream)) {
  request_timeout_.Start(timeouts_.request);  // input does not restart it
  loop::SetCallbacks(stream_.get(), this);
  bufferevent_setwatermark(stream_.get(), EV_READ, 0, kMaxReadAhead);
}

ClientConnection::~ClientConnection() {
  if (body_) {
    body_->Abandon();
  }
}

void ClientConnection::Enable() { bufferevent_enable(stream_.get(), EV_READ | EV_WRITE); }

void ClientConnection::SetTimeInBacklog(Time max_wait) {
  if (max_wait > 0 && HasUnreadBytes()) {
    time_in_backlog_ = max_wait;
  }
}

void ClientConnection::OnReadable() {
  // Reading may close and destroy this connection.
  const ClientConnectionHandler* handler = handler_;
  const std::uint64_t number = number_;
  for (int piece = 0; piece < kMaxPiecesPerTurn; ++piece) {
    if (!handler->IsOpen(number) || !ReadNextChunk()) {
      return;
    }
  }
  if (handler->IsOpen(number) && IsReading()) {
    read_pause_.Start(0);  // goes on in the loop's next iteration
  }
}

bool ClientConnection::IsReading() const { return (bufferevent_get_enabled(stream_.get()) & EV_READ) != 0; }

bool ClientConnection::IsOutputFull() const {
  return loop::UnwrittenBytes(stream_.get()) >= kMaxUnwrittenBytes;
}

bool ClientConnection::ReserveMemory(std::size_t held_bytes) {
  const std::size_t bytes = held_bytes > kUnreservedBytes ? held_bytes - kUnreservedBytes : 0;
  return bytes == request_memory_.bytes() || handler_->ReserveMemory(*this, bytes);
}

void ClientConnection::ResumeReading() { OnReadable(); }

// Reads input up to the end of one request and returns whether to continue. One request is served at a time:
// pipelined input stays in the stream's buffer, up to kMaxReadAhead bytes.
bool ClientConnection::ReadNextChunk() {
  const std::string_view chunk = loop::FirstInputChunk(stream_.get());
  if (chunk.empty()) {
    return false;
  }
  if (closing_) {
    return DiscardInputAfterClose(chunk.size());
  }
  if (is_responding() && loop::BufferedInputBytes(stream_.get()) >= kMaxReadAhead) {
    return DiscardPipelinedInput();
  }
  if (is_responding()) {
    return !ReserveMemory(loop::BufferedInputBytes(stream_.get())) && DiscardPipelinedInput();
  }
  if (!IsReading() || IsOutputFull()) {
    return false;
  }
  if (!reader_.started() && requests_read_ > 0) {
    request_timeout_.Start(timeouts_.request);
  }
  idle_timeout_.Stop();
  last_input_at_ = core::Now();
  loop::DrainInput(stream_.get(), reader_.Feed(chunk));
  OnRequestProgress();
  return true;
}

// A request that is too slow is rejected, so that its client does not hold a connection for long.
void ClientConnection::OnRequestTimeout() {
  const std::size_t received = reader_.body().size();
  if (is_head_read_ && received >= body_bytes_checked_ + kMinBodyBytes) {
    body_bytes_checked_ = received;
    timeout_extended_ = false;
    request_timeout_.Start(timeouts_.request);
    return;
  }
  // If bytes wait unread, the loop may be late and the client not: it is given time to read them, once.
  if (HasUnreadBytes() && !std::exchange(timeout_extended_, true)) {
    request_timeout_.Start(kUnreadInputTime);
    return;
  }
  Reject({kStatusRequestTimeout, "the request did not become whole in time"});
}

void ClientConnection::OnRequestProgress() {
  if (reader_.head_complete() && !std::exchange(is_head_read_, true)) {
    request_timeout_.Start(timeouts_.request);
  }
  if (!ReserveMemory(reader_.held_bytes())) {
    RejectForMemory();
    return;
  }
  if (reader_.malformed()) {
    close_after_response_ = true;  // the start of the next request is unknown
    Reject({reader_.status(), reader_.error()});
  } else if (reader_.complete()) {
    request_timeout_.Stop();
    ++requests_read_;
    handler_->OnRequest(*this);
  } else if (reader_.expects_continue() && !std::exchange(continue_sent_, true)) {
    loop::Write(stream_.get(), kContinue);
  }
}

void ClientConnection::RejectForMemory() {
  close_after_response_ = true;  // the rest of the request follows
  Reject({kStatusUnavailable, "no memory for the request"});
}

// Discards input that arrives after the last response; returns whether to continue. Closing a connection with
// unread bytes would reset it before the client has read its response.
bool ClientConnection::DiscardInputAfterClose(std::size_t size) {
  discarded_bytes_ += size;
  loop::DrainInput(stream_.get(), size);
  if (discarded_bytes_ <= kMaxDiscardedAtClose) {
    return true;
  }
  handler_->Close(*this);
  return false;
}

// Discards input that exceeds the read-ahead limit while a request is pending. Regular clients send one
// request at a time, so a client that sends this much gets no further request served. Its bytes are still
// read because stopping at the limit would hide a disconnect.
bool ClientConnection::DiscardPipelinedInput() {
  close_after_response_ = true;
  const std::size_t size = loop::BufferedInputBytes(stream_.get());
  discarded_bytes_ += size;
  loop::DrainInput(stream_.get(), size);
  if (discarded_bytes_ > kMaxDiscardedPipelined) {
    handler_->Close(*this);
  }
  return false;
}

void ClientConnection::OnWritten() {
  write_timeout_.Stop();
  if (body_) {
    PassOnBody();
    return;
  }
  if (std::exchange(has_unwritten_response_, false)) {
    OnResponseWritten();
  }
  ResumeReading();  // it may have stopped because the output was full
}

// Begins the wait that follows a response. Before all of it is written, a client that reads slowly would lose
// its end when the wait is over. The next request may have begun in the meantime.
void ClientConnection::OnResponseWritten() {
  response_memory_.Release();
  last_active_ = core::Now();
  if (closing_) {
    loop::ShutdownWrites(stream_.get());
    linger_timeout_.Start(timeouts_.linger);
  } else if (!shutdown_.is_scheduled() && !is_responding() && !reader_.started()) {
    idle_timeout_.Start(requests_read_ > 1 ? timeouts_.idle : timeouts_.idle_after_first_request);
  }
}

void ClientConnection::OnEvent(loop::EventMask what) {
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
    handler_->Close(*this);
  }
}

void ClientConnection::Respond(int status, std::string_view body, std::string_view headers,
                               core::MemoryReservation memory) {
  BeginResponse();
  response_memory_ = std::move(memory);
  loop::Write(stream_.get(), FormatResponse(status, body, headers, close_after_response_));
  loop::FlushOutput(stream_.get());
  EndResponse();
}

void ClientConnection::RespondStreaming(std::string_view headers, std::shared_ptr<BodyStream> body) {
  body_ = std::move(body);
  has_chunked_body_ = !body_->length() && !reader_.is_http_1_0();
  if (!body_->length() && !has_chunked_body_) {
    close_after_response_ = true;  // the end of the connection ends the body
  }
  BeginResponse();
  loop::Write(stream_.get(),
              FormatStreamHead(body_->length(), has_chunked_body_, headers, close_after_response_));
  body_->SetReceiver([this] { PassOnBody(); });
  PassOnBody();
}

void ClientConnection::PassOnBody() {
  while (loop::UnwrittenBytes(stream_.get()) < kMaxUnwrittenBytes) {
    const std::string part = body_->Take(kMaxUnwrittenBytes);
    if (part.empty()) {
      break;
    }
    WritePart(part);
  }
  if (body_->has_failed()) {
    loop::ResetOnClose(stream_.get());
    handler_->Close(*this);
    return;
  }
  if (!body_->is_complete()) {
    return;
  }
  if (has_chunked_body_) {
    loop::Write(stream_.get(), kLastChunk);
  }
  body_.reset();
  EndResponse();
  ResumeReading();
}

void ClientConnection::WritePart(std::string_view bytes) {
  if (has_chunked_body_) {
    loop::Write(stream_.get(), FormatChunk(bytes));
  } else {
    loop::Write(stream_.get(), bytes);
  }
  StartWriteTimeout();
}

void ClientConnection::StartWriteTimeout() {
  unread_bytes_checked_ = UnreadByClient();
  write_timeout_.Start(timeouts_.write);
}

// A large response may take longer than the timeout, and the socket may take no bytes for as long although
// the client reads, since the kernel reports room only once a third of a full buffer is free.
void ClientConnection::OnWriteTimeout() {
  if (UnreadByClient() + timeouts_.min_read_bytes <= unread_bytes_checked_) {
    StartWriteTimeout();
  } else {
    handler_->Close(*this);
  }
}

std::size_t ClientConnection::UnreadByClient() const {
  const evutil_socket_t fd = bufferevent_getfd(stream_.get());
  return loop::UnwrittenBytes(stream_.get()) + loop::UnacknowledgedBytes(fd);
}

void ClientConnection::BeginResponse() {
  close_after_response_ =
      close_after_response_ || shutdown_.closes_after_response() || !reader_.keeps_alive();
  reader_ = MessageReader(MessageReader::Kind::kRequest, kMaxRequestBodyBytes);
  request_memory_.Release();
  is_head_read_ = false;
  body_bytes_checked_ = 0;
  timeout_extended_ = false;
  continue_sent_ = false;
  last_active_ = core::Now();
  request_timeout_.Stop();
}

void ClientConnection::EndResponse() {
  last_active_ = core::Now();
  closing_ = closing_ || close_after_response_;
  // All bytes of a streamed body may have been written before its end was known.
  has_unwritten_response_ = loop::UnwrittenBytes(stream_.get()) > 0;
  if (has_unwritten_response_) {
    StartWriteTimeout();
  } else {
    OnResponseWritten();
  }
}

void ClientConnection::Reject(const Rejection& rejection) {
  const int status = rejection.status;
  const bool sent_ahead = loop::BufferedInputBytes(stream_.get()) > 0;
  close_after_response_ = close_after_response_ || sent_ahead || status == kStatusRequestTimeout;
  const std::string headers = status == kStatusMethodNotAllowed ? HeaderLine("Allow", "GET, PUT") : "";
  Respond(status, rejection.error + "\n", headers);
  if (closing_) {
    return;
  }
  bufferevent_disable(stream_.get(), EV_READ);
  read_pause_.Start(kRejectPause);
}

void ClientConnection::ShutDown() {
  closing_ = true;
  request_timeout_.Stop();
  if (loop::UnwrittenBytes(stream_.get()) > 0) {
    has_unwritten_response_ = true;  // the client gets its end before the shutdown
  } else {
    loop::ShutdownWrites(stream_.get());
  }
}

void ClientConnection::ClearPendingRequest() {
  pending_request_ = 0;
  discarded_bytes_ = 0;
}

bool ClientConnection::IsIdle() const {
  return !is_responding() && !reader_.started() && loop::BufferedInputBytes(stream_.get()) == 0 &&
         loop::UnwrittenBytes(stream_.get()) == 0;
}

bool ClientConnection::HasUnreadBytes() const {
  return loop::HasUnreadBytes(bufferevent_getfd(stream_.get()));
}

Time ClientConnection::TimeSinceLastInput() const {
  return loop::TimeSinceLastInput(bufferevent_getfd(stream_.get()));
}

bool ClientConnection::IsDisconnected() const {
  return loop::PeerHasClosed(bufferevent_getfd(stream_.get()));
}

frontend::ConnectionActivity ClientConnection::activity() const {
  if (is_responding()) {
    return frontend::ConnectionActivity::kAwaitingResponse;
  }
  const bool idle = IsIdle() && !HasUnreadBytes();
  return idle ? frontend::ConnectionActivity::kIdle : frontend::ConnectionActivity::kPartialRequest;
}

frontend::EvictionRank ClientConnection::eviction_rank() const {
  if (has_unwritten_response_ && requests_read_ > 0) {
    return frontend::EvictionRank::kInUse;
  }
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
