// One connection to an export at a storage server: stream, protocol session, timers, and the attempts that
// use it, several at a time. The pool owns it; both belong to the thread of the event loop.
#ifndef WALNUTSPUR_NBD_TARGET_CONNECTION_H_
#define WALNUTSPUR_NBD_TARGET_CONNECTION_H_

#include <event2/bufferevent.h>
#include <netinet/in.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "loop/attempt_key.h"
#include "loop/loop.h"
#include "loop/stream.h"
#include "nbd/client_session.h"
#include "nbd/config.h"
#include "nbd/payload.h"
#include "walnutspur/scheduler.h"

namespace walnutspur::nbd {

class TargetConnection;

// An export at a target, by one of the target's addresses.
struct TargetExport {
  TargetId target;
  std::string remote;  // name of the export
  int path = 0;        // index into Target::addresses
  bool operator==(const TargetExport&) const = default;
};

// Implemented by the owner of target connections.
class TargetConnectionOwner {
 public:
  virtual ~TargetConnectionOwner() = default;
  // The handshake is complete: the attempt can be sent.
  virtual void OnReady(TargetConnection& connection, const loop::AttemptKey& key) = 0;
  // The target has replied to an attempt.
  virtual void OnReply(const loop::AttemptKey& key, Reply reply) = 0;
  // The connection has ended and is to be destroyed.
  virtual void OnEnd(TargetConnection& connection) = 0;
};

class TargetConnection {
 public:
  using AttemptsInFlight = std::map<std::uint64_t, loop::AttemptKey>;  // by cookie

  // `config` and `owner` must outlive the connection.
  TargetConnection(std::uint64_t number, TargetExport target_export, const Config& config,
                   TargetConnectionOwner* owner);
  TargetConnection(const TargetConnection&) = delete;
  TargetConnection& operator=(const TargetConnection&) = delete;

  // Makes the stream; whether it could be made.
  bool Open(event_base* base);
  // Begins to connect; whether it has begun. Connection and handshake have one timeout.
  bool Connect(const sockaddr_in& address);

  // Adds an attempt that waits for the handshake.
  void AddWaiting(const loop::AttemptKey& key) { waiting_.push_back(key); }
  // Sends an attempt's command, once ready.
  void Send(const loop::AttemptKey& key, std::uint64_t cookie,
            const std::shared_ptr<const CommandPayload>& command);
  // Drops an attempt, whose reply is not passed on; cookie 0: it was not sent. Afterwards the connection
  // takes no new attempt, since those behind a command that is stuck would be delayed by it.
  void Abandon(const loop::AttemptKey& key, std::uint64_t cookie);
  // Takes no new attempt from here on.
  void Retire() { retired_ = true; }
  void StopIdleTimer() { idle_timer_.Stop(); }
  // Without attempts: closes a connection that takes no new one at once, and another one before the storage
  // server closes it.
  void StartIdleTimer();

  std::uint64_t number() const { return number_; }
  const TargetExport& target_export() const { return export_; }
  const ClientSession& session() const { return session_; }
  const AttemptsInFlight& in_flight() const { return in_flight_; }
  const std::vector<loop::AttemptKey>& waiting() const { return waiting_; }
  // Attempts that use it.
  std::size_t load() const { return in_flight_.size() + waiting_.size(); }
  bool AcceptsAttempts() const;
  // Whether the kernel has taken the last byte of a command; cookie 0: never.
  bool IsWritten(std::uint64_t cookie) const;
  // Whether some attempt has not been written in full.
  bool HasUnwrittenAttempts() const;

  // The stream's callbacks, see loop::SetCallbacks.
  void OnReadable();
  void OnEvent(loop::EventMask what);

 private:
  // A command that may not be written in full.
  struct UnwrittenCommand {
    std::uint64_t cookie = 0;
    std::uint64_t end = 0;  // where it ends in all that was handed to the stream, in bytes
  };

  Request MakeRequest(const Request& command, std::uint64_t cookie) const;
  void WriteHandshake(const std::string& bytes);
  void OnReply(Reply reply);
  void SendWaiting();

  std::uint64_t number_;
  TargetExport export_;
  const Config& config_;
  TargetConnectionOwner* owner_;
  ClientSession session_;
  AttemptsInFlight in_flight_;             // without those abandoned
  std::vector<loop::AttemptKey> waiting_;  // for the handshake
  std::vector<UnwrittenCommand> unwritten_;
  std::uint64_t bytes_queued_ = 0;  // handed to the stream since the start
  bool retired_ = false;
  loop::EventHandle connect_timer_;
  loop::EventHandle idle_timer_;
  loop::StreamPtr stream_;
};

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_TARGET_CONNECTION_H_
