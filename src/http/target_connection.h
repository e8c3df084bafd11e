// Implements one connection to a target, with its state, attempt, timers and stream. Carries one attempt at a
// time and parses its response. The handler, which is the target pool, handles the connection's events.
//
// Owned by the connection pool; runs on the loop's thread.
#ifndef WALNUTSPUR_HTTP_TARGET_CONNECTION_H_
#define WALNUTSPUR_HTTP_TARGET_CONNECTION_H_

#include <netinet/in.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "core/engine.h"
#include "core/memory_account.h"
#include "http/body_stream.h"
#include "http/message_reader.h"
#include "http/messages.h"
#include "integrity/digest.h"
#include "loop/attempt_key.h"
#include "loop/stream.h"

namespace walnutspur::http {

// An attempt or a health check that a connection carries.
struct Attempt {
  loop::AttemptKey key;      // request 0: a health check
  std::string request_head;  // the text before the deadline; cleared once written to the stream
  std::string request_rest;  // the text after the deadline; cleared likewise
  std::shared_ptr<const Request> large_request;  // whose body follows request_rest; null: none
  Time sent_at = 0;                              // when it was assigned to a connection; start of its latency
  Time expires_at = 0;                           // when it times out
  Time not_after = 0;                            // latest time to write it to the stream; 0: no limit
  bool is_read = false;                          // a client's GET
  std::string uri;                               // set for reads if digests are on
  std::optional<integrity::Algorithm> wanted_digest;  // the digest that the client requests
};

// Time after a response during which its connection is not reused, us. A late duplicate of a response does
// not identify its request: on a reused connection it would be taken for the response to the next request.
constexpr Time kSettleTime = 8'000;

class TargetConnection;

// Handles a connection's events. Each may close the connection, but its memory is freed only in the loop's
// next iteration.
class TargetConnectionHandler {
 public:
  virtual void OnConnected(TargetConnection& connection) = 0;
  // Called when bytes have arrived or have not been parsed yet.
  virtual void OnReadable(TargetConnection& connection) = 0;
  // Called when the peer has closed the connection, or when it has failed (`is_error`).
  virtual void OnClosed(TargetConnection& connection, bool is_error) = 0;
  virtual void OnConnectTimeout(TargetConnection& connection) = 0;
  virtual void OnAttemptTimeout(TargetConnection& connection) = 0;
  // Called when the settle time of the connection's last response has passed.
  virtual void OnSettled(TargetConnection& connection) = 0;
  virtual void OnIdleTimeout(TargetConnection& connection) = 0;
  // Called some time after HoldBody.
  virtual void OnHoldTimeout(TargetConnection& connection) = 0;

 protected:
  ~TargetConnectionHandler() = default;
};

class TargetConnection {
 public:
  // kConnecting: being established for its attempt, of which nothing is written to the stream. kSpare: being
  // established although its attempt was abandoned. kSettling: connected; its attempt waits until no late
  // duplicate of the last response can arrive. kBusy: the attempt is written to the stream. kStreaming:
  // without an attempt; what follows of its response is passed on. kIdle: connected, without an attempt.
  enum class State { kConnecting, kSpare, kSettling, kBusy, kStreaming, kIdle };

  TargetConnection(event_base* base, std::uint64_t number, TargetId target, loop::StreamPtr stream,
                   TargetConnectionHandler* handler);
  ~TargetConnection();
  TargetConnection(const TargetConnection&) = delete;
  TargetConnection& operator=(const TargetConnection&) = delete;

  // Starts connecting; returns whether that succeeded.
  bool Connect(const sockaddr_in& address);
  void StartConnectTimeout(Time timeout) { connect_timeout_.Start(timeout); }
  void StopConnectTimeout() { connect_timeout_.Stop(); }
  void StartIdleTimeout(Time timeout) { idle_timeout_.Start(timeout); }
  void StopIdleTimeout() { idle_timeout_.Stop(); }

  // Assigns an attempt. The connection must not have one.
  void Assign(Attempt attempt);
  void StartAttemptTimeout(Time timeout) { attempt_timeout_.Start(timeout); }
  // Removes the attempt, stops its timers and returns it.
  Attempt ReleaseAttempt();
  // Removes the attempt, for use on another connection, and returns it. The timers keep running.
  Attempt MoveAttemptOut();
  // Makes an idle connection with a new attempt wait until the settle time of its last response has passed.
  // Returns whether it must wait; if so, OnSettled is called later.
  bool StartSettling();
  // Writes the attempt's request to the stream, with the remaining time as its deadline.
  void SendRequest();
  // Records that the response is complete.
  void MarkResponseReceived();
  void MarkSpare() { state_ = State::kSpare; }
  void MarkIdle() { state_ = State::kIdle; }

  // Waits a short time for the end of a response without a length, before it is streamed. Only the first call
  // for an attempt has an effect.
  void HoldBody();
  // Passes the body of the response on through `body` from now on.
  void StartStreaming(std::shared_ptr<BodyStream> body);
  // Detaches the stream, if there is one, after its end or to break it.
  void EndStreaming();
  const std::shared_ptr<BodyStream>& body() const { return body_; }
  // Parses one piece of input. Returns false if there is none.
  bool ParseNextChunk();
  void PauseReading() { loop::PauseReading(stream_.get()); }
  void EnableReading() { bufferevent_enable(stream_.get(), EV_READ); }
  void ResumeReading() { loop::ResumeReading(stream_.get()); }

  // Parses input up to the end of the response. `keep_reading()` is called after each piece. Returns kDone if
  // the response is complete or malformed, kIncomplete if more input is needed, and kStopped if
  // `keep_reading()` returned false.
  enum class ParseResult { kIncomplete, kDone, kStopped };
  template <typename KeepReading>
  ParseResult ParseInput(KeepReading keep_reading);

  // Stops all activity: buffered output is not sent, and no further event is delivered.
  void Shutdown();

  std::uint64_t number() const { return number_; }
  const TargetId& target() const { return target_; }
  State state() const { return state_; }
  const std::optional<Attempt>& attempt() const { return attempt_; }
  MessageReader& response() { return response_; }
  // The memory that is reserved for the response.
  core::MemoryReservation& response_memory() { return response_memory_; }
  core::MemoryReservation TakeResponseMemory() { return response_memory_.Split(); }
  void SetMemory(core::MemoryReservation memory) { response_memory_ = std::move(memory); }
  const MessageReader& response() const { return response_; }
  // Returns whether the last byte of the request has been sent; only then may it have run.
  bool IsRequestSent() const;
  // Returns whether unread bytes or an end of stream are pending in the kernel.
  bool HasPendingInput() const;
  // Returns whether bytes have been read but not parsed.
  bool HasSurplusInput() const;
  // Returns whether the settle time of the last response has passed at `now`.
  bool IsSettled(Time now) const { return now - last_response_at_ >= kSettleTime; }

  // Callbacks of the stream.
  void OnReadable() { handler_->OnReadable(*this); }
  void OnEvent(loop::EventMask what);

 private:
  TargetConnectionHandler* handler_;
  std::uint64_t number_;
  TargetId target_;
  State state_ = State::kConnecting;
  std::optional<Attempt> attempt_;
  Time last_response_at_ = 0;  // when the last response was complete
  MessageReader response_{MessageReader::Kind::kResponse};
  core::MemoryReservation response_memory_;
  bool is_held_ = false;              // HoldBody was called for the attempt
  std::shared_ptr<BodyStream> body_;  // set while kStreaming
  loop::EventHandle connect_timeout_;
  loop::EventHandle settle_timer_;
  loop::EventHandle attempt_timeout_;
  loop::EventHandle hold_timer_;
  loop::EventHandle idle_timeout_;
  loop::StreamPtr stream_;
};

template <typename KeepReading>
TargetConnection::ParseResult TargetConnection::ParseInput(KeepReading keep_reading) {
  while (!response_.complete() && !response_.malformed()) {
    if (!ParseNextChunk()) {
      return ParseResult::kIncomplete;
    }
    if (!keep_reading()) {
      return ParseResult::kStopped;
    }
  }
  return ParseResult::kDone;
}

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_TARGET_CONNECTION_H_
