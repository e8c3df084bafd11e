#include "http/front_end.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <utility>
#include <variant>

#include "core/scheduler_thread.h"
#include "http/messages.h"

namespace walnutspur::http {
namespace {

using std::chrono::milliseconds;

// Idle connections stay open for as long as possible: their clients would find no other server. A late event
// loop may leave requests unanswered after the deadline.
constexpr frontend::ShutdownLimits kShutdownLimits = {.close_idle_before = milliseconds(100),
                                                      .close_partial_request_after = milliseconds(50),
                                                      .close_awaiting_response_after = milliseconds(100)};

// HTTP has no handshake.
constexpr frontend::EvictionLimits kEvictionLimits = {.first_request_grace = milliseconds(30),
                                                      .second_request_grace = milliseconds(30),
                                                      .idle_grace = milliseconds(250)};

// Fraction of the process's descriptors that clients' connections may use.
constexpr double kClientSocketFraction = 0.36;

// Connections that the kernel completes before they are accepted.
constexpr int kListenBacklog = 1024;

// The part of the process's memory, as a divisor, that responses may use which clients have not read yet.
constexpr std::size_t kUnreadMemoryDivisor = 4;

}  // namespace

FrontEnd::FrontEnd(event_base* base, const Config& config, core::RequestNumbers* request_numbers,
                   core::SubmitInput submit)
    : base_(base),
      config_(config),
      request_numbers_(request_numbers),
      submit_(std::move(submit)),
      shutdown_(kShutdownLimits),
      eviction_(kEvictionLimits),
      max_connections_(
          std::max<std::size_t>(1, static_cast<std::size_t>(config.sockets * kClientSocketFraction))),
      pending_(base, submit_),
      turn_clock_(base),
      listener_(base, config.listen, {.backlog = kListenBacklog}, ListenerHooks()) {}

FrontEnd::~FrontEnd() = default;

loop::ListenerCallbacks FrontEnd::ListenerHooks() {
  loop::ListenerCallbacks hooks;
  hooks.on_accept = [this](evutil_socket_t fd) { OnAccept(fd); };
  hooks.on_error = [this](int error) {
    // Only for the limit of this process: where the machine is out of descriptors or memory, closing one
    // connection would free too little to matter.
    if (error == EMFILE) {
      EvictConnection();
    }
    listener_.Pause();
  };
  hooks.has_capacity = [this] { return HasCapacity(); };
  return hooks;
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

// Bytes that a client has sent may wait for the loop: while the process is short of CPU, all connections age.
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
  Admission admission = AdmitRequest(config_, client.message());
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

void FrontEnd::Submit(ClientConnection& client, AdmittedRequest admitted) {
  core::RequestReceived& request = admitted.request;
  request.request = request_numbers_->next++;
  client.SetPendingRequest(request.request);
  // The client's timeout began when it sent the request.
  const Time delay = std::max(turn_clock_.SinceIterationBegan(), client.TakeTimeInBacklog());
  const Time elapsed = std::min(delay, admitted.client_timeout);
  request.deadline = core::Now() + admitted.client_timeout - elapsed;
  pending_.Add(request.request, request.deadline, client.number());
  submit_(std::move(request));
}

void FrontEnd::Respond(const core::Response& response) {
  const auto answered = pending_.TakeCompleted(response.request);
  if (!answered) {
    return;  // the client has disconnected
  }
  ClientConnection& client = *clients_.at(answered->origin);
  client.ClearPendingRequest();
  shutdown_.OnResponse(answered->latency);
  switch (response.status) {
    case core::ResponseStatus::kServed:
      RespondServed(client, static_cast<const Response&>(*response.payload));
      break;
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
  client.ReadAhead();
}

void FrontEnd::RespondServed(ClientConnection& client, const Response& served) const {
  if (HasMemoryFor(served.body.size())) {
    client.Respond(kStatusOk, served.body, served.headers);
  } else {
    client.Respond(kStatusInternalError, "no room for the answer\n");
  }
}

// Bounds the memory of responses beyond the protocol's size, which wait for as long as clients are slow to
// read them.
bool FrontEnd::HasMemoryFor(std::size_t size) const {
  if (size <= kProtocolBodyBytes) {
    return true;
  }
  for (const auto& [number, client] : clients_) {
    size += loop::UnwrittenBytes(client->stream());
  }
  return size <= config_.memory_bytes() / kUnreadMemoryDivisor;
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
  pending_.RemoveDisconnected(closed->pending_request());
}

// No request may be left unanswered when the process ends. Idle connections stay open until then: a client
// that lost one now would find no server on a new one.
void FrontEnd::SetShutdownDeadline(Time deadline) {
  shutdown_.Schedule();
  pending_.SetShutdownDeadline(deadline);
  for (auto& [number, client] : clients_) {
    client->StopIdleTimeout();
  }
}

// No connection may end without a response to its request: a busy one ends with its response, an idle one is
// shut for writing and read until its client has closed it, so that no reset reaches a client that has just
// sent something. So is, at last, one that holds a part of a request or has unread bytes.
void FrontEnd::AdvanceShutdown(Time left) {
  if (shutdown_.Advance(left)) {
    listener_.AcceptPending();  // the kernel has accepted them: their requests count as ours
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
