#include "http/body_stream.h"

#include <algorithm>
#include <utility>

namespace walnutspur::http {

void BodyStream::Append(std::string_view bytes) {
  if (state_ != State::kOpen || bytes.empty()) {
    return;
  }
  buffer_.append(bytes);
  NotifyReceiver();
}

void BodyStream::Finish() {
  if (state_ == State::kOpen) {
    state_ = State::kFinished;
    NotifyReceiver();
  }
}

void BodyStream::Fail() {
  if (state_ == State::kOpen) {
    state_ = State::kFailed;
    NotifyReceiver();
  }
}

void BodyStream::SetSender(std::function<void()> on_drained, std::function<void()> on_abandoned) {
  on_drained_ = std::move(on_drained);
  on_abandoned_ = std::move(on_abandoned);
}

void BodyStream::DetachSender() { SetSender(nullptr, nullptr); }

// Calls a copy, because the receiver may end during the call.
void BodyStream::NotifyReceiver() {
  if (const auto notify = on_change_) {
    notify();
  }
}

std::string BodyStream::Take(std::size_t max_bytes) {
  const bool was_full = is_full();
  const std::size_t size = std::min(max_bytes, buffer_.size());
  std::string taken = buffer_.substr(0, size);
  buffer_.erase(0, size);
  if (was_full && !is_full() && state_ == State::kOpen) {
    if (const auto resume = on_drained_) {
      resume();
    }
  }
  return taken;
}

void BodyStream::Abandon() {
  on_change_ = nullptr;
  buffer_.clear();
  if (std::exchange(state_, State::kAbandoned) != State::kOpen) {
    return;
  }
  if (const auto abandon = on_abandoned_) {
    abandon();
  }
}

}  // namespace walnutspur::http
