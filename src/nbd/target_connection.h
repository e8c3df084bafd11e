// Class TargetConnection holds one connection to an export at a storage server: the stream, the protocol
// session, the timers and the concurrent attempts that use the connection. Owned by a TargetPool; runs on the
// event loop's thread.
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

// An export at a target, reached by one of the target's addresses.
struct TargetExport {
  TargetId target;
  std::string remote;  // name of the export
  int path = 0;        // index into Target::addresses
  bool operator==(const TargetExport&) const = default;
};

// Interface that the owner of target connections implements.
class TargetConnectionOwner {
 public:
  virtual ~TargetConnectionOwner() = default;
  // Called for each waiting attempt when the handshake is complete, so that the attempt can be sent.
  virtual void OnReady(TargetConnection& connection, const loop::AttemptKey& key) = 0;
  // Called when the target has replied to an attempt.
  virtual void OnReply(const loop::AttemptKey& key, Reply reply) = 0;
  // Called when the connection has ended; the owner must destroy it.
  virtual void OnEnd(TargetConnection& connection) = 0;
};

class TargetConnection {
 public:
  using AttemptsInFlight = std::map<std::uint64_t, loop::AttemptKey>;  // key: cookie

  // `config` and `owner` must outlive the connection.
  TargetConnection(std::uint64_t number, TargetExport target_export, const Config& config,
                   TargetConnectionOwner* owner);
  TargetConnection(const TargetConnection&) = delete;
  TargetConnection& operator=(const TargetConnection&) = delete;

  // Creates the stream. Returns false on failure.
  bool Open(event_base* base);
  // Starts to connect. Returns false on failure. One timeout covers connecting and the handshake.
  bool Connect(const sockaddr_in& address);

  // Adds an attempt that waits for the handshake.
  void AddWaiting(const loop::AttemptKey& key) { waiting_.push_back(key); }
  // Sends the command of an attempt. The session must be ready.
  void Send(const loop::AttemptKey& key, std::uint64_t cookie,
            const std::shared_ptr<const CommandPayload>& command);
  // Removes an attempt; a later reply to it is ignored. Cookie 0 denotes an attempt that was not sent. Bytes
  // of the command that the kernel has not accepted are never sent. If the attempt was sent, the connection
  // accepts no further attempts, since a command that is stuck at the target would delay them. Returns false
  // if the kernel has accepted a part of the command: nothing can follow that part, and the owner must end
  // the connection.
  [[nodiscard]] bool Abandon(const loop::AttemptKey& key, std::uint64_t cookie);
  // Makes the connection accept no further attempts.
  void Retire() { retired_ = true; }
  void StopIdleTimer() { idle_timer_.Stop(); }
  // If the connection has no attempts: closes it at once if it is retired, else before the storage server's
  // idle timeout expires.
  void StartIdleTimer();

  std::uint64_t number() const { return number_; }
  const TargetExport& target_export() const { return export_; }
  const ClientSession& session() const { return session_; }
  const AttemptsInFlight& in_flight() const { return in_flight_; }
  const std::vector<loop::AttemptKey>& waiting() const { return waiting_; }
  // Returns the number of attempts that use the connection.
  std::size_t load() const { return in_flight_.size() + waiting_.size(); }
  bool AcceptsAttempts() const;
  // Returns whether the kernel has accepted all bytes of a command; false for cookie 0.
  bool IsWritten(std::uint64_t cookie) const;
  // Returns whether any attempt has not been written completely.
  bool HasUnwrittenAttempts() const;

  // Callbacks of the stream; see loop::SetCallbacks.
  void OnReadable();
  void OnEvent(loop::EventMask what);

 private:
  // A command that may not have been written completely.
  struct UnwrittenCommand {
    std::uint64_t cookie = 0;
    std::uint64_t begin = 0;  // positions among all bytes passed to the stream
    std::uint64_t end = 0;
  };
  using UnwrittenCommands = std::vector<UnwrittenCommand>;  // in the order of their positions

  Request MakeRequest(const Request& command, std::uint64_t cookie) const;
  void WriteHandshake(const std::string& bytes);
  void OnReply(Reply reply);
  void SendWaiting();
  UnwrittenCommands::const_iterator FindUnwritten(std::uint64_t cookie) const;
  // Returns how many bytes the kernel has accepted.
  std::uint64_t bytes_written() const { return bytes_queued_ - loop::UnwrittenBytes(stream_.get()); }
  // Removes a command of which the kernel has accepted nothing from the stream's output.
  void RemoveCommand(UnwrittenCommands::const_iterator command);

  std::uint64_t number_;
  TargetExport export_;
  const Config& config_;
  TargetConnectionOwner* owner_;
  ClientSession session_;
  AttemptsInFlight in_flight_;             // without abandoned attempts
  std::vector<loop::AttemptKey> waiting_;  // attempts that wait for the handshake
  UnwrittenCommands unwritten_;
  std::uint64_t bytes_queued_ = 0;  // total passed to the stream, without commands that were removed
  bool retired_ = false;
  loop::EventHandle connect_timer_;
  loop::EventHandle idle_timer_;
  loop::StreamPtr stream_;
};

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_TARGET_CONNECTION_H_
