#include "lab/fakes/http_target.h"

#include <string_view>
#include <utility>

namespace walnutspur::lab {
namespace {

constexpr int kBacklog = 512;
constexpr Time kServiceTime = 3'000;  // us from a request to its response
constexpr int kOk = 200;
constexpr int kInternalError = 500;
constexpr int kUnavailable = 503;

}  // namespace

HttpTarget::HttpTarget(event_base* base, std::string name, HttpTargetObserver* observer)
    : base_(base),
      name_(std::move(name)),
      observer_(observer),
      free_closed_(loop::MakeTimer(base, [this] { closed_.reset(); })) {
  Listen(0);
}

HttpTarget::~HttpTarget() = default;

void HttpTarget::Listen(int port) {
  loop::ListenerCallbacks callbacks;
  callbacks.on_accept = [this](evutil_socket_t fd) { OnAccept(fd); };
  const loop::Address address{"127.0.0.1", static_cast<std::uint16_t>(port)};
  listener_ =
      std::make_unique<loop::Listener>(base_, address, loop::ListenerOptions{.backlog = kBacklog}, callbacks);
  port_ = listener_->port();
}

void HttpTarget::SetFault(TargetFault fault) {
  fault_ = fault;
  if (fault == TargetFault::kDown) {
    listener_.reset();
    ResetAll();
  } else if (!listener_) {
    Listen(port_);
  }
}

void HttpTarget::ResetAll() {
  for (auto& [number, served] : connections_) {
    served.connection->ResetOnClose();
  }
  connections_.clear();
}

void HttpTarget::CloseIdleConnections() {
  std::erase_if(connections_, [](const auto& entry) { return !entry.second.is_busy; });
}

void HttpTarget::OnAccept(evutil_socket_t fd) {
  const std::uint64_t number = next_connection_++;
  HttpConnectionHandler* self = this;
  Served& served = connections_[number];
  served.connection = std::make_unique<HttpConnection>(base_, fd, number, self);
  served.response_timer = loop::MakeTimer(base_, [this, number] { Respond(number); });
}

void HttpTarget::OnRequest(HttpConnection& connection) {
  if (observer_) {
    observer_->OnRequest(*this, connection);
  }
  Served& served = connections_.at(connection.number());
  served.is_busy = true;
  served.fault = fault_;
  if (fault_ == TargetFault::kResetsRequests) {
    connection.ResetOnClose();
    OnClosed(connection);
  } else if (fault_ != TargetFault::kHangs) {
    served.response_timer.Start(kServiceTime);
  }
}

void HttpTarget::Respond(std::uint64_t number) {
  const auto at = connections_.find(number);
  if (at == connections_.end()) {
    return;
  }
  HttpConnection& connection = *at->second.connection;
  const TargetFault fault = at->second.fault;
  at->second.is_busy = false;
  if (fault == TargetFault::kErrors) {
    connection.Respond(kInternalError, "error\n");
  } else if (fault == TargetFault::kOverloaded) {
    connection.Respond(kUnavailable, "busy\n", "X-Not-Run: 1\r\n");
  } else {
    const std::string& uri = connection.request().uri();
    const char* id = connection.request().Find("X-Request-Id");
    const bool has_size =
        response_bytes_ > 0 && id != nullptr && std::string_view(id).starts_with(response_id_prefix_);
    connection.Respond(kOk, has_size ? std::string(response_bytes_, 'r') : uri);
  }
  connection.ReadNext();
}

void HttpTarget::OnClosed(HttpConnection& connection) {
  const auto at = connections_.find(connection.number());
  if (at == connections_.end()) {
    return;
  }
  closed_ = std::move(at->second.connection);
  free_closed_.Start(0);
  connections_.erase(at);
}

}  // namespace walnutspur::lab
