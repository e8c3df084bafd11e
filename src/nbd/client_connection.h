// One client's connection to the NBD front end: stream, protocol session, timers, and the commands in flight.
// The front end owns it; both belong to the thread of the event loop.
#ifndef WALNUTSPUR_NBD_CLIENT_CONNECTION_H_
#define WALNUTSPUR_NBD_CLIENT_CONNECTION_H_

#include <event2/bufferevent.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/engine.h"
#include "frontend/eviction_policy.h"
#include "loop/loop.h"
#include "loop/stream.h"
#include "nbd/config.h"
#include "nbd/server_session.h"

namespace walnutspur::nbd {

class ClientConnection;

// Implemented by the owner of client connections.
class ClientConnectionOwner {
 public:
  virtual ~ClientConnectionOwner() = default;
  // Takes over a command that the client has sent.
  virtual void OnCommand(ClientConnection& connection, Request request) = 0;
  // The connection has ended and is to be destroyed.
  virtual void OnEnd(ClientConnection& connection) = 0;
  // Whether the program shuts down gracefully.
  virtual bool draining() const = 0;
};

class ClientConnection {
 public:
  using CommandsInFlight = std::map<std::uint64_t, core::RequestNumber>;  // by the client's cookie

  // `config` and `owner` must outlive the connection.
  ClientConnection(std::uint64_t number, const Config& config, ClientConnectionOwner* owner);
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  // Takes over an accepted socket and starts the timeout of the handshake. False: it cannot be used and has
  // been closed.
  bool Adopt(event_base* base, evutil_socket_t fd);
  // Begins to read, and sends the greeting.
  void Begin();

  void AddInFlight(std::uint64_t cookie, core::RequestNumber request) { in_flight_[cookie] = request; }
  void RemoveInFlight(std::uint64_t cookie) { in_flight_.erase(cookie); }
  void Write(const std::string& bytes);
  // Processes what has been received, as far as the limits on commands and replies in flight allow. May
  // destroy the connection.
  void ProcessInput();
  // Reads again after a pause for capacity. May destroy the connection.
  void ResumeReading();
  // Closes the connection if its session has ended, and shuts it down for writing if the program drains and
  // nothing is in flight. May destroy the connection.
  void CloseIfIdle();

  std::uint64_t number() const { return number_; }
  const ServerSession& session() const { return session_; }
  const CommandsInFlight& in_flight() const { return in_flight_; }
  frontend::EvictionCandidate eviction_candidate() const { return {stage(), connected_at_}; }
  bufferevent* stream() const { return stream_.get(); }
  evutil_socket_t fd() const { return bufferevent_getfd(stream_.get()); }

  // The stream's callbacks, see loop::SetCallbacks.
  void OnReadable() { ProcessInput(); }
  void OnWritten() { ResumeReading(); }
  void OnEvent(loop::EventMask what);

 private:
  frontend::ConnectionStage stage() const;
  bool HasCapacity() const;
  void PauseReading();
  void FeedSession(std::string_view bytes);
  void UpdateCommandTimer(bool command_completed);

  std::uint64_t number_;
  const Config& config_;
  ClientConnectionOwner* owner_;
  ServerSession session_;
  CommandsInFlight in_flight_;
  bool has_sent_command_ = false;
  Time connected_at_ = 0;              // us
  loop::EventHandle handshake_timer_;  // of the handshake, and of reading the last replies
  bool command_timer_runs_ = false;    // a part of a command has been received
  bool write_closed_ = false;          // shut down for writing: input is dropped
  loop::EventHandle command_timer_;    // of receiving a command that has begun
  loop::StreamPtr stream_;
};

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_CLIENT_CONNECTION_H_
