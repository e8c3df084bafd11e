// Class ClientConnection holds one client's connection to the NBD front end: the stream, the protocol
// session, the timers and the commands in flight. Owned by the front end; runs on the event loop's thread.
#ifndef WALNUTSPUR_NBD_CLIENT_CONNECTION_H_
#define WALNUTSPUR_NBD_CLIENT_CONNECTION_H_

#include <event2/bufferevent.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/engine.h"
#include "core/memory_account.h"
#include "frontend/eviction_policy.h"
#include "loop/loop.h"
#include "loop/stream.h"
#include "nbd/config.h"
#include "nbd/server_session.h"

namespace walnutspur::nbd {

class ClientConnection;

// Why the connection of a client has ended.
enum class EndReason {
  kClientClosed,      // the client closed it, or left as the protocol has it
  kConnectionFailed,  // a read or a write failed
  kHandshakeTimeout,  // the client did not complete the handshake, or did not read its last replies
  kCommandTimeout,    // the client did not complete a command
  kProtocolError,     // the client violated the protocol
  kEvicted,           // for a new connection; its client had sent no command
};

// Interface that the owner of client connections implements.
class ClientConnectionOwner {
 public:
  virtual ~ClientConnectionOwner() = default;
  // Called with each command that has been received completely.
  virtual void OnCommand(ClientConnection& connection, Request request) = 0;
  // Called when the connection has ended; the owner must destroy it. `error` describes the failure of a read
  // or a write, or the violation of the protocol.
  virtual void OnEnd(ClientConnection& connection, EndReason reason, const std::string& error) = 0;
  // Returns whether the process is draining.
  virtual bool draining() const = 0;
};

class ClientConnection {
 public:
  using CommandsInFlight = std::map<std::uint64_t, core::RequestNumber>;  // key: the client's cookie

  // `config` and `owner` must outlive the connection.
  ClientConnection(std::uint64_t number, const Config& config, ClientConnectionOwner* owner);
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  // Takes ownership of an accepted socket and starts the handshake timer. Returns false if the socket is not
  // usable, in which case it has been closed.
  bool Adopt(event_base* base, evutil_socket_t fd);
  // Enables reading and sends the greeting.
  void Begin();

  void AddInFlight(std::uint64_t cookie, core::RequestNumber request) { in_flight_[cookie] = request; }
  void RemoveInFlight(std::uint64_t cookie) { in_flight_.erase(cookie); }
  void Write(const std::string& bytes);
  // Sets the reservations for the command that is being received and for unwritten replies.
  void SetMemory(core::MemoryReservation command, core::MemoryReservation replies);
  // Returns the reservation of the command that is complete.
  core::MemoryReservation TakeCommandMemory() { return command_memory_.Split(); }
  // Processes the received bytes until the limit of commands in flight or of unwritten replies is reached.
  // May destroy the connection.
  void ProcessInput();
  // Resumes reading after a pause for lack of capacity. May destroy the connection.
  void ResumeReading();
  // Closes the connection if its session has ended, and shuts it down for writing if the process is draining
  // and no command is in flight. May destroy the connection.
  void CloseIfIdle();

  std::uint64_t number() const { return number_; }
  const ServerSession& session() const { return session_; }
  const CommandsInFlight& in_flight() const { return in_flight_; }
  frontend::EvictionCandidate eviction_candidate() const { return {eviction_rank(), connected_at_}; }
  bufferevent* stream() const { return stream_.get(); }
  evutil_socket_t fd() const { return bufferevent_getfd(stream_.get()); }

  // Callbacks of the stream; see loop::SetCallbacks.
  void OnReadable() { ProcessInput(); }
  void OnWritten() { ResumeReading(); }
  void OnEvent(loop::EventMask what);

 private:
  frontend::EvictionRank eviction_rank() const;
  bool HasCapacity() const;
  void PauseReading();
  void OnTimeout(EndReason reason, loop::EventHandle* timer);
  void FeedSession(std::string_view bytes);
  void UpdateCommandTimer(bool command_completed);

  std::uint64_t number_;
  const Config& config_;
  ClientConnectionOwner* owner_;
  ServerSession session_;
  CommandsInFlight in_flight_;
  core::MemoryReservation command_memory_;  // of the command that is being received
  core::MemoryReservation reply_memory_;    // of unwritten replies
  loop::EventHandle memory_timer_;          // while the next command waits for memory
  bool has_sent_command_ = false;
  Time connected_at_ = 0;              // us
  loop::EventHandle handshake_timer_;  // limits the handshake, and the client's read of the last replies
  bool command_timer_runs_ = false;    // true while a command is incomplete
  bool timeout_extended_ = false;      // the running timer was extended to read what had arrived
  bool write_closed_ = false;          // shut down for writing; input is discarded
  loop::EventHandle command_timer_;    // limits the time to receive a complete command
  loop::StreamPtr stream_;
};

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_CLIENT_CONNECTION_H_
