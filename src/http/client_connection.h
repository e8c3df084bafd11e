// One connection of a client to the HTTP front end: reads requests one at a time, writes their responses, and
// bounds how long each phase may take. It does not interpret requests.
//
// Owned by its front end, which alone destroys it; runs on the loop's thread.
#ifndef WALNUTSPUR_HTTP_CLIENT_CONNECTION_H_
#define WALNUTSPUR_HTTP_CLIENT_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "core/engine.h"
#include "core/memory_account.h"
#include "frontend/eviction_policy.h"
#include "frontend/shutdown_sequence.h"
#include "http/body_stream.h"
#include "http/message_reader.h"
#include "http/response_text.h"
#include "loop/stream.h"

namespace walnutspur::http {

class ClientConnection;

// The interface through which a client connection reports to its front end.
class ClientConnectionHandler {
 public:
  // Called when a request is complete; client.message() holds it.
  virtual void OnRequest(ClientConnection& client) = 0;
  // Closes and destroys the connection. Does nothing if it is already closed.
  virtual void Close(ClientConnection& client) = 0;
  // Changes the memory that client.request_memory() reserves to `bytes`. Returns whether there is enough.
  virtual bool ReserveMemory(ClientConnection& client, std::size_t bytes) = 0;
  // Returns whether the connection with this number still exists.
  virtual bool IsOpen(std::uint64_t connection_number) const = 0;

 protected:
  ~ClientConnectionHandler() = default;
};

// Limits of how long a client may take for each phase of its connection; times in us.
struct ClientTimeouts {
  // From a request's first byte to the end of its head; for the first request, from connecting. After that,
  // a minimum of its body must arrive in each such period.
  Time request = 2'500'000;
  // Without a request, after the last response was written. Shorter after the first one, because many clients
  // send only one.
  Time idle = 20'000'000;
  Time idle_after_first_request = 2'000'000;
  // To read the minimum below of a response that is not written completely.
  Time write = 10'000'000;
  std::size_t min_read_bytes = 100'000;
  // To close the connection itself after its last response was written.
  Time linger = 500'000;
};

class ClientConnection {
 public:
  // `handler` and `shutdown` must outlive the connection. Call Enable to start reading.
  ClientConnection(event_base* base, std::uint64_t number, loop::StreamPtr stream,
                   ClientConnectionHandler* handler, const frontend::ShutdownSequence& shutdown,
                   const ClientTimeouts& timeouts = {});
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  void Enable();
  // Sets the maximum time (us) that the connection may have spent in the accept queue. It counts for the
  // first request if bytes have already arrived.
  void SetTimeInBacklog(Time max_wait);
  // Returns the time (us) that the complete request may have spent in the accept queue, and resets it.
  Time TakeTimeInBacklog() { return std::exchange(time_in_backlog_, 0); }

  // Returns the complete request; valid while handler->OnRequest runs.
  MessageReader& message() { return reader_; }

  // Sends a response. The front end must no longer hold a pending request of this connection.
  // `memory` is kept until the client has read the response.
  void Respond(int status, std::string_view body, std::string_view headers = {},
               core::MemoryReservation memory = {});
  // Sends a response with status 200 whose body is passed on while it arrives. If the body breaks before its
  // end, the connection is reset.
  void RespondStreaming(std::string_view headers, std::shared_ptr<BodyStream> body);
  // Sends a response to a rejected request and pauses reading. The pause limits how many invalid requests are
  // read per second, so that a flood of them does not starve other clients.
  void Reject(const Rejection& rejection);
  // Resumes reading after a response, starting with the input that the client has pipelined.
  void ResumeReading();
  // Shuts down writing, after what is left of a response, and reads until the client closes the connection.
  // Closing it with unread bytes would reset it, and a client that has just sent a request would see the
  // reset.
  void ShutDown();
  void StopIdleTimeout() { idle_timeout_.Stop(); }

  std::uint64_t number() const { return number_; }
  bufferevent* stream() const { return stream_.get(); }
  bool closing() const { return closing_; }
  // Returns whether a request has no complete response yet.
  bool is_responding() const { return pending_request_ != 0 || body_ != nullptr; }
  // Returns whether there is no pending request and no byte of a request or response is buffered.
  bool IsIdle() const;
  // Returns whether the kernel holds unread bytes of the connection.
  bool HasUnreadBytes() const;
  // Returns the time since the kernel received the last bytes of the client, us.
  Time TimeSinceLastInput() const;
  // Returns whether the kernel has received the client's FIN or reset.
  bool IsDisconnected() const;
  frontend::ConnectionActivity activity() const;
  frontend::EvictionCandidate eviction_candidate() const { return {eviction_rank(), last_active_}; }

  // Returns the request of this connection that the front end has submitted; 0: none.
  core::RequestNumber pending_request() const { return pending_request_; }
  void SetPendingRequest(core::RequestNumber request) { pending_request_ = request; }
  // Clears the pending request, before its response is sent.
  void ClearPendingRequest();

  // The memory that is reserved for the request that is being received and for input behind it.
  core::MemoryReservation& request_memory() { return request_memory_; }
  // Returns the reservation for a complete request; input behind it gets a new one.
  core::MemoryReservation TakeRequestMemory() { return request_memory_.Split(); }
  // Returns whether a request is incomplete and holds reserved memory.
  bool holds_request_memory() const { return !closing_ && !is_responding() && request_memory_.bytes() > 0; }
  // Returns whether input has arrived behind the request that awaits its response.
  bool has_read_ahead() const {
    return discarded_bytes_ > 0 || loop::BufferedInputBytes(stream_.get()) > 0 || HasUnreadBytes();
  }
  // Returns when the last bytes were read, us.
  Time last_input_at() const { return last_input_at_; }
  // Rejects the incomplete request to free its memory, and closes the connection.
  void RejectForMemory();

  // Callbacks of the stream.
  void OnReadable();
  void OnWritten();
  void OnEvent(loop::EventMask what);

 private:
  frontend::EvictionRank eviction_rank() const;
  bool ReadNextChunk();
  bool IsReading() const;
  // Returns whether enough responses wait to be written that no further request is read.
  bool IsOutputFull() const;
  bool ReserveMemory(std::size_t held_bytes);
  bool DiscardInputAfterClose(std::size_t size);
  bool DiscardPipelinedInput();
  void OnRequestProgress();
  void OnRequestTimeout();
  // The steps of a response before its head is passed to the stream, after its last byte is, and when all of
  // it is written.
  void BeginResponse();
  void EndResponse();
  void OnResponseWritten();
  // Writes what has arrived of a streamed body, as far as the client reads it.
  void PassOnBody();
  void WritePart(std::string_view bytes);
  void StartWriteTimeout();
  void OnWriteTimeout();
  // Returns the number of a response's bytes that the client's kernel has not acknowledged yet.
  std::size_t UnreadByClient() const;

  ClientConnectionHandler* handler_;
  const frontend::ShutdownSequence& shutdown_;
  ClientTimeouts timeouts_;
  std::uint64_t number_;
  MessageReader reader_{MessageReader::Kind::kRequest, kMaxRequestBodyBytes};
  core::MemoryReservation request_memory_;
  core::MemoryReservation response_memory_;
  core::RequestNumber pending_request_ = 0;
  Time last_active_;                     // when the last response was sent, or else when the client connected
  Time last_input_at_ = 0;               // when the last bytes were read
  std::uint64_t requests_read_ = 0;      // complete requests
  bool is_head_read_ = false;            // of the current request
  bool timeout_extended_ = false;        // the request's timeout was extended to read what had arrived
  std::size_t body_bytes_checked_ = 0;   // of the current request, at the last check of its progress
  std::shared_ptr<BodyStream> body_;     // of the response that is being passed on; null: none
  bool has_chunked_body_ = false;        // body_ is written in chunks
  Time time_in_backlog_ = 0;             // of the first request, us
  bool continue_sent_ = false;           // "100 Continue" was sent for the current request
  bool close_after_response_ = false;    // the connection is closed after the next response
  bool closing_ = false;                 // writing is shut down, or will be soon; further input is discarded
  bool has_unwritten_response_ = false;  // the last response is complete, and part of it is in the stream
  std::size_t unread_bytes_checked_ = 0;  // of the response, at the last check of the client's progress
  std::size_t discarded_bytes_ = 0;       // input that belongs to no served request
  loop::EventHandle request_timeout_;     // from a request's first byte, or from connecting, to its last byte
  loop::EventHandle idle_timeout_;        // while there is no request, and the last response is written
  loop::EventHandle write_timeout_;       // limits how long the client may take to read a response
  loop::EventHandle read_pause_;          // after a rejected request
  loop::EventHandle linger_timeout_;      // after the last response, to let the client close first
  loop::StreamPtr stream_;
};

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_CLIENT_CONNECTION_H_
