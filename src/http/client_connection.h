// One connection of a client to the HTTP front end: reads requests one at a time, writes their responses, and
// bounds how long each phase may take. It does not interpret requests.
//
// Owned by its front end, through which alone it ends; runs on the loop's thread.
#ifndef WALNUTSPUR_HTTP_CLIENT_CONNECTION_H_
#define WALNUTSPUR_HTTP_CLIENT_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/engine.h"
#include "frontend/eviction_policy.h"
#include "frontend/shutdown_sequence.h"
#include "http/message_reader.h"
#include "http/response_text.h"
#include "loop/stream.h"

namespace walnutspur::http {

class ClientConnection;

// What a connection needs of its front end.
class ClientConnectionHandler {
 public:
  // A request is complete: client.message().
  virtual void OnRequest(ClientConnection& client) = 0;
  // Ends and destroys the connection; one that has ended already is passed over.
  virtual void Close(ClientConnection& client) = 0;
  // Whether the connection with this number still exists.
  virtual bool IsOpen(std::uint64_t connection_number) const = 0;

 protected:
  ~ClientConnectionHandler() = default;
};

class ClientConnection {
 public:
  // Both references must outlive the connection. Call Enable to begin to read.
  ClientConnection(event_base* base, std::uint64_t number, loop::StreamPtr stream,
                   ClientConnectionHandler* handler, const frontend::ShutdownSequence& shutdown);

  void Enable();
  // The connection may have waited this long (us) before it was accepted, and its first request with it if
  // bytes have arrived already.
  void SetTimeInBacklog(Time longest_wait);
  // How long the request that is complete may have waited for that reason, us.
  Time TakeTimeInBacklog() { return std::exchange(time_in_backlog_, 0); }

  // The request that is complete, while handler->OnRequest runs.
  MessageReader& message() { return reader_; }

  // Sends a response. The front end has no request of this connection any more.
  void Respond(int status, std::string_view body, std::string_view headers = {});
  // Sends a response to a request that is not admitted, and pauses reading: who sends such requests gets no
  // more than a few of them read in a second, so that a flood of them leaves time for other clients.
  void Reject(const Rejection& rejection);
  // Reads on after a response: what the client has sent ahead.
  void ReadAhead();
  // Shuts the connection for writing and reads until the client closes: closing it with bytes unread would
  // reset it, and a client that has just sent something would see that reset.
  void ShutDown();
  void StopIdleTimeout() { idle_timeout_.Stop(); }

  std::uint64_t number() const { return number_; }
  bufferevent* stream() const { return stream_.get(); }
  bool closing() const { return closing_; }
  // No request, and no byte of one or of a response in our buffers.
  bool IsIdle() const;
  // Bytes of it wait in the kernel.
  bool HasUnreadBytes() const;
  // Whether the peer has closed, as far as the kernel knows.
  bool IsDisconnected() const;
  frontend::ConnectionActivity activity() const;
  frontend::EvictionCandidate eviction_candidate() const { return {stage(), last_active_}; }

  // The request that the front end has taken of this connection; 0: none.
  core::RequestNumber pending_request() const { return pending_request_; }
  void SetPendingRequest(core::RequestNumber request) { pending_request_ = request; }
  // The pending request is answered: its response follows.
  void ClearPendingRequest();

  // Callbacks of the stream.
  void OnReadable();
  void OnWritten();
  void OnEvent(loop::EventMask what);

 private:
  frontend::ConnectionStage stage() const;
  bool ReadOne();
  bool DropAfterLastResponse(std::size_t size);
  bool DropSentAhead();
  void OnRequestProgress();

  ClientConnectionHandler* handler_;
  const frontend::ShutdownSequence& shutdown_;
  std::uint64_t number_;
  MessageReader reader_{MessageReader::Kind::kRequest};
  core::RequestNumber pending_request_ = 0;
  Time last_active_;                   // its last response, or when it connected
  std::uint64_t requests_read_ = 0;    // complete ones
  Time time_in_backlog_ = 0;           // of the first request, us
  bool continue_sent_ = false;         // "100 Continue" was sent for the request that is being read
  bool last_response_ = false;         // the next response ends the connection
  bool closing_ = false;               // shut for writing, or about to be: what still arrives is dropped
  std::size_t dropped_bytes_ = 0;      // of what belongs to no request that is served
  loop::EventHandle request_timeout_;  // from the first byte of a request (or connecting) to its last
  loop::EventHandle idle_timeout_;     // without a request
  loop::EventHandle write_timeout_;    // for the client to read a response
  loop::EventHandle read_pause_;       // after a rejected request
  loop::EventHandle linger_timeout_;   // after the last response, for the client to close first
  loop::StreamPtr stream_;
};

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_CLIENT_CONNECTION_H_
