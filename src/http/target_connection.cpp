#include "http/target_connection.h"

#include <utility>

#include "core/scheduler_thread.h"
#include "http/messages.h"
#include "http/response_text.h"
#include "loop/peer.h"

namespace walnutspur::http {
namespace {

// Maximum body of a response; the pool decides whether it is streamed, read completely or abandoned.
constexpr std::size_t kMaxResponseBodyBytes = 32 << 20;

// Time from the head of a response without a length until it is streamed, us. A short response is complete by
// then, and one that breaks can be retried.
constexpr Time kHoldTime = 75'000;

}  // namespace

TargetConnection::TargetConnection(event_base* base, std::uint64_t number, TargetId target,
                                   loop::StreamPtr stream, TargetConnectionHandler* handler)
    : handler_(handler),
      number_(number),
      target_(std::move(target)),
      connect_timeout_(loop::MakeTimer(base, [this] { handler_->OnConnectTimeout(*this); })),
      settle_timer_(loop::MakeTimer(base, [this] { handler_->OnSettled(*this); })),
      attempt_timeout_(loop::MakeTimer(base, [this] { handler_->OnAttemptTimeout(*this); })),
      hold_timer_(loop::MakeTimer(base, [this] { handler_->OnHoldTimeout(*this); })),
      idle_timeout_(loop::MakeTimer(base, [this] { handler_->OnIdleTimeout(*this); })),
      stream_(std::move(stream)) {
  loop::SetCallbacks(stream_.get(), this);
}

TargetConnection::~TargetConnection() { EndStreaming(); }

bool TargetConnection::Connect(const sockaddr_in& address) {
  bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
  return loop::Connect(stream_.get(), address);
}

void TargetConnection::OnEvent(loop::EventMask what) {
  if (what & BEV_EVENT_CONNECTED) {
    loop::DisableNagle(bufferevent_getfd(stream_.get()));
    handler_->OnConnected(*this);
  }
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
    handler_->OnClosed(*this, (what & BEV_EVENT_ERROR) != 0);
  }
}

void TargetConnection::Assign(Attempt attempt) {
  attempt_ = std::move(attempt);
  response_ = MessageReader(MessageReader::Kind::kResponse, kMaxResponseBodyBytes);
  response_memory_.Release();
  is_held_ = false;
}

void TargetConnection::HoldBody() {
  if (!std::exchange(is_held_, true)) {
    hold_timer_.Start(kHoldTime);
  }
}

Attempt TargetConnection::ReleaseAttempt() {
  hold_timer_.Stop();
  connect_timeout_.Stop();
  settle_timer_.Stop();
  attempt_timeout_.Stop();
  return MoveAttemptOut();
}

Attempt TargetConnection::MoveAttemptOut() {
  Attempt attempt = std::move(*attempt_);
  attempt_.reset();
  return attempt;
}

bool TargetConnection::StartSettling() {
  state_ = State::kSettling;
  const Time remaining = last_response_at_ + kSettleTime - attempt_->sent_at;
  if (remaining <= 0) {
    return false;
  }
  settle_timer_.Start(remaining);
  return true;
}

void TargetConnection::SendRequest() {
  state_ = State::kBusy;
  const Time left = attempt_->expires_at - core::Now();
  const std::string deadline = HeaderLine("X-Deadline", Seconds(left));
  loop::Write(stream_.get(), attempt_->request_head + deadline + attempt_->request_rest);
  if (const auto request = std::exchange(attempt_->large_request, nullptr)) {
    loop::WriteShared(stream_.get(), request, request->body);
  }
  // The deadline, and the check that the client is connected, are true now and not when the loop writes next.
  loop::FlushOutput(stream_.get());
  attempt_->request_head = {};
  attempt_->request_rest = {};
}

void TargetConnection::MarkResponseReceived() { last_response_at_ = core::Now(); }

bool TargetConnection::ParseNextChunk() {
  const std::string_view chunk = loop::FirstInputChunk(stream_.get());
  if (chunk.empty()) {
    return false;
  }
  loop::DrainInput(stream_.get(), response_.Feed(chunk));
  return true;
}

void TargetConnection::StartStreaming(std::shared_ptr<BodyStream> body) {
  state_ = State::kStreaming;
  body_ = std::move(body);
}

void TargetConnection::EndStreaming() {
  if (const auto body = std::exchange(body_, nullptr)) {
    body->DetachSender();
    body->Fail();
  }
}

void TargetConnection::Shutdown() {
  connect_timeout_.Stop();
  settle_timer_.Stop();
  attempt_timeout_.Stop();
  hold_timer_.Stop();
  idle_timeout_.Stop();
  bufferevent_disable(stream_.get(), EV_READ | EV_WRITE);
  loop::ClearCallbacks(stream_.get());
  EndStreaming();
}

bool TargetConnection::IsRequestSent() const {
  return state_ == State::kBusy && loop::UnwrittenBytes(stream_.get()) == 0;
}

bool TargetConnection::HasPendingInput() const {
  return loop::HasPendingInput(bufferevent_getfd(stream_.get()));
}

bool TargetConnection::HasSurplusInput() const { return loop::BufferedInputBytes(stream_.get()) > 0; }

}  // namespace walnutspur::http
