// Carries the body of a response from a target's connection to a client's, within a bounded buffer.
//
// Shared by both connections; used on the event-loop thread only, although a reference to it travels through
// the scheduler's queues. Each side may end first.
#ifndef WALNUTSPUR_HTTP_BODY_STREAM_H_
#define WALNUTSPUR_HTTP_BODY_STREAM_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "core/memory_account.h"

namespace walnutspur::http {

// The sender of a stream is paused while the stream holds at least this many bytes.
constexpr std::size_t kMaxStreamBytes = 16 << 10;

class BodyStream {
 public:
  // `length` is the size of the body; nullopt if it is not known in advance.
  explicit BodyStream(std::optional<std::uint64_t> length) : length_(length) {}

  std::optional<std::uint64_t> length() const { return length_; }

  // The memory of the stream on both sides.
  core::MemoryReservation memory;

  // The sender's side.
  void Append(std::string_view bytes);
  bool is_full() const { return buffer_.size() >= kMaxStreamBytes; }
  // Marks the body as complete, or as broken before its end. Nothing may be appended after that.
  void Finish();
  void Fail();
  // `on_drained` is called when the stream is no longer full, `on_abandoned` when the receiver has gone.
  void SetSender(std::function<void()> on_drained, std::function<void()> on_abandoned);
  // Ends the calls to the sender.
  void DetachSender();

  // The receiver's side.
  // `on_change` is called after each change by the sender.
  void SetReceiver(std::function<void()> on_change) { on_change_ = std::move(on_change); }
  bool has_receiver() const { return static_cast<bool>(on_change_); }
  // Removes at most `max_bytes` bytes and returns them.
  std::string Take(std::size_t max_bytes);
  // Ends the stream: the receiver has gone.
  void Abandon();
  // Returns whether all bytes of a complete body have been taken.
  bool is_complete() const { return state_ == State::kFinished && buffer_.empty(); }
  bool has_failed() const { return state_ == State::kFailed; }

 private:
  enum class State { kOpen, kFinished, kFailed, kAbandoned };

  void NotifyReceiver();

  std::optional<std::uint64_t> length_;
  State state_ = State::kOpen;
  std::string buffer_;
  std::function<void()> on_drained_;
  std::function<void()> on_abandoned_;
  std::function<void()> on_change_;
};

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_BODY_STREAM_H_
