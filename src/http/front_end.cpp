#include "http/front_end.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <utility>
#include <variant>

#include "core/scheduler_thread.h"
#include "frontend/memory_log.h"
#include "frontend/stalled_request.h"
#include "http/messages.h"

namespace walnutspur::http {
namespace {

using std::chrono::milliseconds;

// Idle connections stay open as long as possible because their clients would find no other server. If the
// event loop runs late, requests may still be without a response after the deadline.
constexpr frontend::ShutdownLimits kShutdownLimits = {.close_idle_before = milliseconds(100),
                                                      .close_partial_request_after = milliseconds(50),
                                                      .close_awaiting_response_after = milliseconds(100)};

// HTTP has no handshake, so no handshake limit is set.
constexpr frontend::EvictionLimits kEvictionLimits = {.first_request_grace = milliseconds(30),
                                                      .second_request_grace = milliseconds(30),
                                                      .idle_grace = milliseconds(250)};

// Maximum fraction of the process's file descriptors for client connections.
constexpr double kClientSocketFraction = 0.36;

// Size of the accept queue: connections that the kernel has established but the front end has not accepted.
constexpr int kListenBacklog = 1024;

// Time in which connections that are being established when clients are handed over reach this process, us.
constexpr Time kHandOverDelay = 50'000;

// Responses that clients have not read yet may use the process's memory limit divided by this number.
constexpr std::size_t kUnreadMemoryDivisor = 4;

// Requests that hold more than this may not use all memory for requests, bytes.
constexpr std::size_t kSmallRequestBytes = 16 << 10;

// Ends the stream of a response that has no client any more.
void AbandonStream(const core::Response& response) {
  const auto* served = dynamic_cast<const Response*>(response.payload.get());
  if (served != nullptr && served->stream) {
    served->stream->Abandon();
  }
}

}  // namespace

FrontEnd::FrontEnd(event_base* base, const Config& config, core::RequestNumbers* request_numbers,
                   core::MemoryAccount* memory, core::SubmitInput submit)
    : base_(base),
      config_(config),
      request_numbers_(request_numbers),
      memory_(memory),
      submit_(std::move(submit)),
      shutdown_(kShutdownLimits),
      eviction_(kEvictionLimits),
      pending_(base, submit_),
      turn_clock_(base),
      listener_(base, config.listen, {.backlog = kListenBacklog, .share_port = config.management.has_value()},
                MakeListenerCallbacks()),
      close_listener_timer_(loop::MakeTimer(base, [this] {
        listener_.AcceptPending();
        listener_.Close();
      })) {
  SetSocketLimit(config.sockets);
}

FrontEnd::~FrontEnd() = default;

void FrontEnd::SetSocketLimit(int sockets) {
  max_connections_ = std::max<std::size_t>(1, static_cast<std::size_t>(sockets * kClientSocketFraction));
}

void FrontEnd::HandOver() {
  if (listener_.is_open()) {
    listener_.DirectToNewestSocket();
    close_listener_timer_.Start(kHandOverDelay);
  }
  shutdown_.set_hands_over(true);
}

void FrontEnd::TakeBack() {
  close_listener_timer_.Stop();
  if (!listener_.is_open() && !shutdown_.is_scheduled()) {
    listener_.Reopen();
  }
  shutdown_.set_hands_over(false);
}

loop::ListenerCallbacks FrontEnd::MakeListenerCallbacks() {
  loop::ListenerCallbacks callbacks;
  callbacks.on_accept = [this](evutil_socket_t fd) { OnAccept(fd); };
  callbacks.on_error = [this](int error) {
    // Evicts a connection only at this process's descriptor limit (EMFILE). If the machine has run out of
    // descriptors or memory, closing one connection would free too little.
    if (error == EMFILE) {
      EvictConnection();
    }
    listener_.Pause();
  };
  callbacks.has_capacity = [this] { return HasCapacity(); };
  return callbacks;
}

void FrontEnd::OnAccept(evutil_socket_t fd) {
  loop::StreamPtr stream = loop::AdoptSocket(base_, fd);
  if (!stream) {
    return;
  }
  loop::DisableNagle(fd);
  const std::uint64_t number = next_connection_++;
  ClientConnectionHandler* handler = this;
  auto& client = clients_[number];
  client = std::make_unique<ClientConnection>(base_, number, std::move(stream), handler, shutdown_);
  client->request_memory() = core::MemoryReservation(memory_, limits::MemoryOwner::kHttpRequests);
  client->SetTimeInBacklog(listener_.MaxBacklogWait());
  if (on_accept) {
    on_accept(client->stream());
  }
  client->Enable();
  if (!HasCapacity()) {
    listener_.Pause();
  }
}

bool FrontEnd::HasCapacity() { return clients_.size() < max_connections_ || EvictConnection(); }

// Closes the connection that the eviction policy chooses; returns whether there was one. Connections with
// unread input in the kernel are spared: if the process is short of CPU time, a connection may look idle only
// because the loop has not read it yet.
bool FrontEnd::EvictConnection() {
  ClientConnection* evicted = eviction_.Choose(clients_, core::Now(), [](const ClientConnection& client) {
    return !client.closing() && client.HasUnreadBytes();
  });
  if (evicted != nullptr) {
    Close(*evicted);
  }
  return evicted != nullptr;
}

void FrontEnd::OnRequest(ClientConnection& client) {
  if (client.message().uri() == "/-/ready") {
    RespondToReadinessCheck(client);
    return;
  }
  Admission admission = AdmitRequest(config_, client.message(), client.TakeRequestMemory());
  if (const auto* rejection = std::get_if<Rejection>(&admission)) {
    client.Reject(*rejection);
    return;
  }
  Submit(client, std::move(std::get<AdmittedRequest>(admission)));
}

void FrontEnd::RespondToReadinessCheck(ClientConnection& client) const {
  if (client.message().method() != "GET") {
    client.Reject({kStatusMethodNotAllowed, "it is asked by a GET"});
  } else if (ready_) {
    client.Respond(kStatusOk, "ready\n");
  } else {
    client.Respond(kStatusUnavailable, "not yet\n");
  }
}

// A client that has left before its request was read does not wait for it. How long the others wait must not
// be estimated from it either.
void FrontEnd::Submit(ClientConnection& client, AdmittedRequest admitted) {
  if (client.IsDisconnected()) {
    Close(client);
    return;
  }
  core::RequestReceived& request = admitted.request;
  request.request = request_numbers_->next++;
  client.SetPendingRequest(request.request);
  // The client's timeout starts when it sends the request. The process may have been off the processor
  // between the arrival of the request and the begin of the loop's iteration.
  const Time delay =
      std::max({turn_clock_.SinceIterationBegan(), client.TakeTimeInBacklog(), client.TimeSinceLastInput()});
  const Time elapsed = std::min(delay, admitted.client_timeout);
  request.deadline = core::Now() + admitted.client_timeout - elapsed;
  pending_.Add(request.request, request.deadline, client.number());
  submit_(std::move(request));
}

// The engine learns of a client that has left before its response, so that the request's id stays in use.
void FrontEnd::Respond(const core::Response& response) {
  IsClientConnected(response.request);
  const auto pending = pending_.TakeCompleted(response.request);
  if (!pending) {
    AbandonStream(response);  // the client has disconnected
    return;
  }
  ClientConnection& client = *clients_.at(pending->origin);
  client.ClearPendingRequest();
  shutdown_.OnResponse(pending->latency);
  switch (response.status) {
    case core::ResponseStatus::kServed:
      RespondServed(client, static_cast<const Response&>(*response.payload));
      return;
    case core::ResponseStatus::kRejected:
      client.Respond(kStatusUnavailable, "refused\n",
                     HeaderLine("Retry-After", Seconds(response.retry_after)));
      break;
    case core::ResponseStatus::kTimedOut:
      client.Respond(kStatusGatewayTimeout, "timed out\n");
      break;
    case core::ResponseStatus::kFailed:
      client.Respond(kStatusInternalError, "failed\n");
      break;
    case core::ResponseStatus::kDuplicate:
      client.Reject({kStatusConflict, "a request with this X-Request-Id is open"});
      break;
  }
  client.ResumeReading();
}

void FrontEnd::RespondServed(ClientConnection& client, const Response& served) const {
  if (served.stream) {
    client.RespondStreaming(served.headers, served.stream);  // may close the client's connection
    return;
  }
  if (HasMemoryFor(served.body.size())) {
    client.Respond(kStatusOk, served.body, served.headers, served.memory.Split());
  } else {
    client.Respond(kStatusInternalError, "no room for the answer\n");
  }
  client.ResumeReading();
}

// Returns whether a response fits into memory. Limits the total size of unread responses that are larger than
// the protocol's maximum, since slow clients may leave them unread for a long time.
bool FrontEnd::HasMemoryFor(std::size_t size) const {
  if (size <= kProtocolBodyBytes) {
    return true;
  }
  for (const auto& [number, client] : clients_) {
    size += loop::UnwrittenBytes(client->stream());
  }
  return size <= config_.memory_bytes() / kUnreadMemoryDivisor;
}

// Large requests leave memory to small ones. If the memory for requests is used up, requests whose clients
// have stopped in the middle make room. A large request does not displace others, since it would need the
// memory of many, and neither does read-ahead.
bool FrontEnd::ReserveMemory(ClientConnection& client, std::size_t bytes) {
  const bool is_small = std::max(bytes, client.message().declared_body_bytes()) <= kSmallRequestBytes;
  const auto priority = is_small ? limits::MemoryPriority::kNormal : limits::MemoryPriority::kLow;
  while (!client.request_memory().Resize(bytes, priority)) {
    const bool may_displace = !client.is_responding() && bytes <= kProtocolBodyBytes;
    ClientConnection* stalled = may_displace ? frontend::ChooseStalled(clients_, core::Now()) : nullptr;
    if (stalled == nullptr || stalled == &client) {
      frontend::LogMemoryLimit(*memory_, limits::MemoryOwner::kHttpRequests,
                               client.is_responding() ? "read_ahead_dropped" : "request_rejected",
                               client.number());
      return false;
    }
    frontend::LogMemoryLimit(*memory_, limits::MemoryOwner::kHttpRequests, "stalled_request_rejected",
                             stalled->number());
    stalled->RejectForMemory();
  }
  return true;
}

bool FrontEnd::IsClientConnected(core::RequestNumber request) {
  const std::uint64_t* connection = pending_.Find(request);
  if (connection == nullptr) {
    return false;
  }
  ClientConnection& client = *clients_.at(*connection);
  if (!client.IsDisconnected()) {
    return true;
  }
  Close(client);
  return false;
}

void FrontEnd::Close(ClientConnection& client) {
  const auto at = clients_.find(client.number());
  if (at == clients_.end()) {
    return;
  }
  const std::unique_ptr<ClientConnection> closed = std::move(at->second);
  clients_.erase(at);
  pending_.RemoveDisconnected(closed->pending_request(), !closed->has_read_ahead());
}

// Every request must have a response when the process exits. Idle connections stay open until then because a
// client whose connection is closed would find no server for a new one.
void FrontEnd::SetShutdownDeadline(Time deadline) {
  shutdown_.Schedule();
  pending_.SetShutdownDeadline(deadline);
  for (auto& [number, client] : clients_) {
    client->StopIdleTimeout();
  }
}

// Closes connections as the shutdown advances. Every request must get a response: a busy connection is closed
// after its response. An idle connection is shut down for writing and read until the client closes it, so
// that a client that has just sent a request sees no reset. A connection with a partial request or unread
// bytes is shut down in the same way, but last.
void FrontEnd::AdvanceShutdown(Time left) {
  if (shutdown_.Advance(left)) {
    listener_.AcceptPending();  // the kernel has established them, so their requests must be served
    listener_.Close();
  }
  if (!shutdown_.ShouldClose(frontend::ConnectionActivity::kIdle)) {
    return;
  }
  for (const auto& [number, client] : clients_) {
    if (!client->closing() && shutdown_.ShouldClose(client->activity())) {
      client->ShutDown();
    }
  }
}

}  // namespace walnutspur::http
