#include "http/target_connection.h"

#include <utility>

#include "core/scheduler_thread.h"
#include "http/messages.h"
#include "http/response_text.h"
#include "loop/peer.h"

namespace walnutspur::http {
namespace {

constexpr std::size_t kMaxResponseBodyBytes = 1 << 20;

}  // namespace

TargetConnection::TargetConnection(event_base* base, std::uint64_t number, TargetId target,
                                   loop::StreamPtr stream, TargetConnectionHandler* handler)
    : handler_(handler),
      number_(number),
      target_(std::move(target)),
      connect_timeout_(loop::MakeTimer(base, [this] { handler_->OnConnectTimeout(*this); })),
      settle_timer_(loop::MakeTimer(base, [this] { handler_->OnSettled(*this); })),
      attempt_timeout_(loop::MakeTimer(base, [this] { handler_->OnAttemptTimeout(*this); })),
      idle_timeout_(loop::MakeTimer(base, [this] { handler_->OnIdleTimeout(*this); })),
      stream_(std::move(stream)) {
  loop::SetCallbacks(stream_.get(), this);
}

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
}

Attempt TargetConnection::ReleaseAttempt() {
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
  attempt_->request_head = {};
  attempt_->request_rest = {};
}

void TargetConnection::MarkResponseReceived() { last_response_at_ = core::Now(); }

void TargetConnection::Shutdown() {
  connect_timeout_.Stop();
  settle_timer_.Stop();
  attempt_timeout_.Stop();
  idle_timeout_.Stop();
  bufferevent_disable(stream_.get(), EV_READ | EV_WRITE);
  loop::ClearCallbacks(stream_.get());
}

bool TargetConnection::IsRequestSent() const {
  return state_ == State::kBusy && loop::UnwrittenBytes(stream_.get()) == 0;
}

bool TargetConnection::HasPendingInput() const {
  return loop::HasPendingInput(bufferevent_getfd(stream_.get()));
}

bool TargetConnection::HasSurplusInput() const { return loop::BufferedInputBytes(stream_.get()) > 0; }

}  // namespace walnutspur::http
