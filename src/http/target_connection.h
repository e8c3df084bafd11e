// One connection to a target: its state, its attempt, its timers and its stream. Carries one attempt at a
// time and parses its response; its handler, the target pool, decides what its events mean for attempts.
//
// Owned by the connection pool; runs on the loop's thread.
#ifndef WALNUTSPUR_HTTP_TARGET_CONNECTION_H_
#define WALNUTSPUR_HTTP_TARGET_CONNECTION_H_

#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>

#include "core/engine.h"
#include "http/message_reader.h"
#include "integrity/digest.h"
#include "loop/attempt_key.h"
#include "loop/stream.h"

namespace walnutspur::http {

// An attempt, or a health check, as a connection carries it.
struct Attempt {
  loop::AttemptKey key;      // request 0: a health check
  std::string request_head;  // up to the deadline; emptied once it is in the stream, like the next
  std::string request_rest;  // from behind the deadline on
  Time sent_at = 0;          // when the connection was given it; its latency counts from here
  Time expires_at = 0;       // when it is abandoned
  Time not_after = 0;        // when it must be in the stream; 0: no such bound
  bool is_read = false;      // a GET of a client
  std::string uri;           // of a read, where digests are on
  std::optional<integrity::Algorithm> wanted_digest;  // the digest that the client wants
};

// How long a connection is not used after a response, us. A late duplicate of a response does not identify
// its request: on a connection that was used again by then it would be taken for the next request's response.
constexpr Time kSettleTime = 8'000;

class TargetConnection;

// Takes a connection's events. Each may end the connection, but its memory stays until the loop's next turn.
class TargetConnectionHandler {
 public:
  virtual void OnConnected(TargetConnection& connection) = 0;
  // Bytes have arrived, or wait to be parsed.
  virtual void OnReadable(TargetConnection& connection) = 0;
  // The peer has closed the connection, or it is broken (`is_error`).
  virtual void OnClosed(TargetConnection& connection, bool is_error) = 0;
  virtual void OnConnectTimeout(TargetConnection& connection) = 0;
  virtual void OnAttemptTimeout(TargetConnection& connection) = 0;
  // A settling connection is quiet for long enough.
  virtual void OnSettled(TargetConnection& connection) = 0;
  virtual void OnIdleTimeout(TargetConnection& connection) = 0;

 protected:
  ~TargetConnectionHandler() = default;
};

class TargetConnection {
 public:
  // kConnecting: being set up for its attempt, of which nothing is in the stream. kSpare: being set up though
  // its attempt was abandoned. kSettling: connected, and its attempt waits until no more of the last response
  // can arrive. kBusy: the attempt is in the stream or sent. kIdle: connected, without an attempt.
  enum class State { kConnecting, kSpare, kSettling, kBusy, kIdle };

  TargetConnection(event_base* base, std::uint64_t number, TargetId target, loop::StreamPtr stream,
                   TargetConnectionHandler* handler);

  // Begins to connect; returns whether it has begun.
  bool Connect(const sockaddr_in& address);
  void StartConnectTimeout(Time timeout) { connect_timeout_.Start(timeout); }
  void StopConnectTimeout() { connect_timeout_.Stop(); }
  void StartIdleTimeout(Time timeout) { idle_timeout_.Start(timeout); }
  void StopIdleTimeout() { idle_timeout_.Stop(); }

  // Gives it an attempt to carry; it has none yet.
  void Assign(Attempt attempt);
  void StartAttemptTimeout(Time timeout) { attempt_timeout_.Start(timeout); }
  // Ends the attempt and its timers; returns what it was.
  Attempt ReleaseAttempt();
  // Takes the attempt away for another connection; the timers run on.
  Attempt MoveAttemptOut();
  // An idle connection waits, with its new attempt, until the last response is old enough. Returns whether
  // it must wait: then OnSettled follows.
  bool StartSettling();
  // Writes the attempt's request into the stream, with the time that is left now as its deadline.
  void SendRequest();
  // Its response has arrived.
  void MarkAnswered();
  void MarkSpare() { state_ = State::kSpare; }
  void MarkIdle() { state_ = State::kIdle; }

  // Parses input up to the end of the response; `keep_reading()` is called after each piece. Returns whether
  // the response is complete or malformed.
  enum class ParseResult { kIncomplete, kDone, kStopped };
  template <typename KeepReading>
  ParseResult ParseInput(KeepReading keep_reading);

  // Ends all activity: nothing that waits in the stream is sent, and no event follows.
  void Shutdown();

  std::uint64_t number() const { return number_; }
  const TargetId& target() const { return target_; }
  State state() const { return state_; }
  const std::optional<Attempt>& attempt() const { return attempt_; }
  MessageReader& response() { return response_; }
  const MessageReader& response() const { return response_; }
  // Whether the last byte of the request has left: only then may it have run.
  bool IsRequestSent() const;
  // Whether bytes or an end wait in the kernel.
  bool HasPendingInput() const;
  // Whether bytes were read and not parsed.
  bool HasSurplusInput() const;
  // Whether the last response is old enough at `now` for the next attempt.
  bool IsSettled(Time now) const { return now - answered_at_ >= kSettleTime; }

  // Callbacks of the stream.
  void OnReadable() { handler_->OnReadable(*this); }
  void OnEvent(loop::EventMask what);

 private:
  TargetConnectionHandler* handler_;
  std::uint64_t number_;
  TargetId target_;
  State state_ = State::kConnecting;
  std::optional<Attempt> attempt_;
  Time answered_at_ = 0;  // when its last response was complete
  MessageReader response_{MessageReader::Kind::kResponse};
  loop::EventHandle connect_timeout_;
  loop::EventHandle settle_timer_;
  loop::EventHandle attempt_timeout_;
  loop::EventHandle idle_timeout_;
  loop::StreamPtr stream_;
};

template <typename KeepReading>
TargetConnection::ParseResult TargetConnection::ParseInput(KeepReading keep_reading) {
  while (!response_.complete() && !response_.malformed()) {
    const std::string_view chunk = loop::FirstInputChunk(stream_.get());
    if (chunk.empty()) {
      return ParseResult::kIncomplete;
    }
    loop::DrainInput(stream_.get(), response_.Feed(chunk));
    if (!keep_reading()) {
      return ParseResult::kStopped;
    }
  }
  return ParseResult::kDone;
}

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_TARGET_CONNECTION_H_
