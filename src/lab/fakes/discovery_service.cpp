#include "lab/fakes/discovery_service.h"

#include <utility>

#include "core/clock.h"
#include "lab/fakes/chunked_response.h"

namespace walnutspur::lab {
namespace {

constexpr Time kCallTimeout = 2'000'000;  // us that a call waits for its response
constexpr int kBacklog = 512;
constexpr int kUnavailable = 503;

}  // namespace

DiscoveryService::DiscoveryService(event_base* base, const DiscoveryOptions& options)
    : base_(base),
      options_(options),
      ports_(static_cast<std::size_t>(options.clients), 0),
      listeners_(static_cast<std::size_t>(options.clients)),
      free_closed_(loop::MakeTimer(base, [this] { closed_.reset(); })),
      heartbeat_(base, -1, EV_PERSIST, [this] { WriteToWatches("", false); }),
      response_timer_(loop::MakeTimer(base, [this] { RespondNext(); })) {
  for (int client = 0; client < options.clients; ++client) {
    Listen(client);
  }
  heartbeat_.Start(options.heartbeat_interval);
}

DiscoveryService::~DiscoveryService() = default;

void DiscoveryService::Listen(int client) {
  const auto index = static_cast<std::size_t>(client);
  loop::ListenerCallbacks callbacks;
  callbacks.on_accept = [this, client](evutil_socket_t fd) { OnAccept(client, fd); };
  const loop::Address address{"127.0.0.1", static_cast<std::uint16_t>(ports_[index])};
  listeners_[index] =
      std::make_unique<loop::Listener>(base_, address, loop::ListenerOptions{.backlog = kBacklog}, callbacks);
  ports_[index] = listeners_[index]->port();
}

void DiscoveryService::SetFault(DiscoveryFault fault) {
  if (outage_began_at_ != 0) {
    const Time began_at = std::exchange(outage_began_at_, 0);
    if (options_.observer) {
      options_.observer->OnOutageEnded(began_at);
    }
  }
  if (fault_ == DiscoveryFault::kRefusesConnections && fault != DiscoveryFault::kRefusesConnections) {
    for (std::size_t client = 0; client < listeners_.size(); ++client) {
      Listen(static_cast<int>(client));
    }
  }
  fault_ = fault;
  if (fault == DiscoveryFault::kRefusesConnections) {
    outage_began_at_ = core::Now();
    for (auto& listener : listeners_) {
      listener.reset();
    }
  }
  if (fault != DiscoveryFault::kNone && fault != DiscoveryFault::kSilent) {
    EndWatches();
  }
}

void DiscoveryService::EndWatches() {
  calls_.clear();
  waiting_.clear();
}

void DiscoveryService::Set(const ListedEndpoint& endpoint) {
  ++revision_;
  if (options_.observer) {
    options_.observer->OnEndpointSet(revision_, endpoint);
  }
  endpoints_[endpoint.id] = endpoint;
  if (endpoint.state == EndpointState::kTerminated) {
    endpoints_.erase(endpoint.id);
  }
  WriteToWatches(FormatEndpointList(revision_, false, {endpoint}), true);
}

void DiscoveryService::WriteToWatches(const std::string& line, bool is_list) {
  if (fault_ == DiscoveryFault::kSilent) {
    return;
  }
  const std::string chunk = FormatChunk(line + "\n");
  for (auto& [number, call] : calls_) {
    if (!call.is_watching) {
      continue;
    }
    call.connection->Write(chunk);
    if (is_list) {
      RecordListWritten(call);
    }
  }
}

void DiscoveryService::OnAccept(int client, evutil_socket_t fd) {
  const std::uint64_t number = next_call_++;
  HttpConnectionHandler* self = this;
  Call& call = calls_[number];
  call.client = client;
  call.connection = std::make_unique<HttpConnection>(base_, fd, number, self);
  call.timeout = loop::MakeTimer(base_, [this, number] { OnTimeout(number); });
}

// Treats every call as a watch and sends the complete list, whichever revision the client already has: the
// complete list is always correct.
void DiscoveryService::OnRequest(HttpConnection& connection) {
  Call& call = calls_.at(connection.number());
  switch (fault_) {
    case DiscoveryFault::kClosesAtOnce:
      RecordFailure(call);
      OnClosed(connection);
      return;
    case DiscoveryFault::kRejectsAtOnce:
      RecordFailure(call);
      connection.Respond(kUnavailable, "unavailable\n", "Connection: close\r\n");
      return;
    case DiscoveryFault::kSilent:
      return;
    case DiscoveryFault::kTimesOut:
      call.timeout.Start(kCallTimeout);
      return;
    case DiscoveryFault::kTruncatesResponses:
      TruncateResponse(call);
      return;
    case DiscoveryFault::kNone:
    case DiscoveryFault::kRefusesConnections:
      Enqueue(call);
      return;
  }
}

// Queues a call: responses are sent one at a time.
void DiscoveryService::Enqueue(Call& call) {
  call.is_waiting = true;
  call.timeout.Start(kCallTimeout);
  waiting_.push_back(call.connection->number());
  if (!is_responding_) {
    is_responding_ = true;
    response_timer_.Start(options_.response_delay);
  }
}

// Responds with 503 to a call that has waited too long. The call keeps its place in the queue.
void DiscoveryService::OnTimeout(std::uint64_t number) {
  const auto at = calls_.find(number);
  if (at == calls_.end()) {
    return;
  }
  at->second.is_waiting = false;
  RecordFailure(at->second);
  at->second.connection->Respond(kUnavailable, "waited too long\n", "Connection: close\r\n");
}

void DiscoveryService::RespondNext() {
  if (!waiting_.empty()) {
    const auto at = calls_.find(waiting_.front());
    waiting_.pop_front();
    if (at != calls_.end() && at->second.is_waiting) {
      Respond(at->second);
    }
  }
  is_responding_ = !waiting_.empty();
  if (is_responding_) {
    response_timer_.Start(options_.response_delay);
  }
}

void DiscoveryService::Respond(Call& call) {
  call.is_waiting = false;
  call.timeout.Stop();
  call.is_watching = true;
  call.connection->Write(kChunkedResponseHead);
  call.connection->Write(FormatChunk(FullList() + "\n"));
  RecordListWritten(call);
}

void DiscoveryService::TruncateResponse(Call& call) {
  const std::string response = std::string(kChunkedResponseHead) + FormatChunk(FullList() + "\n");
  call.connection->Write(response.substr(0, response.size() / 2));
  const std::uint64_t number = call.connection->number();
  RecordFailure(call);
  call.timeout = loop::MakeTimer(base_, [this, number] { calls_.erase(number); });
  call.timeout.Start(options_.response_delay);
}

void DiscoveryService::RecordListWritten(const Call& call) const {
  if (options_.observer) {
    options_.observer->OnListWritten(call.client, revision_);
  }
}

void DiscoveryService::RecordFailure(const Call& call) const {
  if (options_.observer) {
    options_.observer->OnCallFailed(call.client);
  }
}

void DiscoveryService::OnClosed(HttpConnection& connection) {
  const auto at = calls_.find(connection.number());
  if (at == calls_.end()) {
    return;
  }
  closed_ = std::move(at->second.connection);
  free_closed_.Start(0);
  calls_.erase(at);
}

std::string DiscoveryService::FullList() const {
  std::vector<ListedEndpoint> endpoints;
  endpoints.reserve(endpoints_.size());
  for (const auto& [id, endpoint] : endpoints_) {
    endpoints.push_back(endpoint);
  }
  return FormatEndpointList(revision_, true, endpoints);
}

}  // namespace walnutspur::lab
