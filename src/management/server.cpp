#include "management/server.h"

#include <algorithm>
#include <cerrno>
#include <utility>
#include <variant>

#include "core/clock.h"
#include "loop/peer.h"

namespace walnutspur::management {
namespace {

// File descriptors of the process for each connection of this server, and bounds of their number.
constexpr std::size_t kSocketsPerConnection = 16;
constexpr std::size_t kMinConnections = 4;
constexpr std::size_t kMostConnections = 64;

constexpr int kListenBacklog = 128;

// Time that a caller has to send its line, us.
constexpr Time kCallTimeout = 5'000'000;

// Time that a caller has to close the connection after the reply, us. Closing it earlier with unread bytes
// would reset the connection, and the reply could be lost.
constexpr Time kLingerTimeout = 500'000;

// Maximum number of bytes that are read beyond the call.
constexpr std::size_t kMaxSurplusBytes = 64 << 10;

}  // namespace

std::size_t MaxConnections(int sockets) {
  return std::clamp(static_cast<std::size_t>(std::max(0, sockets)) / kSocketsPerConnection, kMinConnections,
                    kMostConnections);
}

// A connection, which is in one of three states: its line is incomplete, its call awaits the reply, or its
// reply is written.
struct Server::Connection {
  enum class State { kReading, kAwaitingReply, kReplied };

  void OnReadable() { owner->OnReadable(*this); }
  void OnEvent(loop::EventMask events) { owner->OnEvent(*this, events); }
  void OnWritten() const {
    if (state == State::kReplied) {
      loop::ShutdownWrites(stream.get());
    }
  }

  Server* owner = nullptr;
  CallId id = 0;
  State state = State::kReading;
  std::size_t surplus_bytes = 0;  // discarded after the call
  loop::EventHandle timeout;
  loop::StreamPtr stream;
};

Server::Server(event_base* base, const loop::Address& address, std::size_t max_connections, OnCall on_call)
    : base_(base),
      max_connections_(max_connections),
      on_call_(std::move(on_call)),
      listener_(base, address, {.backlog = kListenBacklog}, MakeListenerCallbacks()) {}

Server::~Server() = default;

loop::ListenerCallbacks Server::MakeListenerCallbacks() {
  loop::ListenerCallbacks callbacks;
  callbacks.on_accept = [this](evutil_socket_t fd) { OnAccept(fd); };
  callbacks.on_error = [this](int error) {
    if (error == EMFILE) {
      EvictSilentConnection();
    }
    listener_.Pause();
  };
  callbacks.has_capacity = [this] { return HasCapacity(); };
  return callbacks;
}

bool Server::HasCapacity() { return connections_.size() < max_connections_ || EvictSilentConnection(); }

// Connections with unread bytes in the kernel are spared: their line may have arrived already.
bool Server::EvictSilentConnection() {
  const Connection* oldest = nullptr;
  for (const auto& [id, connection] : connections_) {
    if (connection->state != Connection::State::kReading || (oldest != nullptr && oldest->id < id) ||
        loop::HasUnreadBytes(bufferevent_getfd(connection->stream.get()))) {
      continue;
    }
    oldest = connection.get();
  }
  if (oldest == nullptr) {
    return false;
  }
  Close(oldest->id);
  return true;
}

void Server::OnAccept(evutil_socket_t fd) {
  loop::StreamPtr stream = loop::AdoptSocket(base_, fd);
  if (!stream) {
    return;
  }
  loop::DisableNagle(fd);
  const CallId id = next_connection_++;
  std::unique_ptr<Connection>& slot = connections_[id];
  slot = std::make_unique<Connection>();
  slot->owner = this;
  slot->id = id;
  slot->stream = std::move(stream);
  slot->timeout = loop::MakeTimer(base_, [this, id] { Close(id); });
  slot->timeout.Start(kCallTimeout);
  loop::SetCallbacks(slot->stream.get(), slot.get());
  bufferevent_setwatermark(slot->stream.get(), EV_READ, 0, kMaxSurplusBytes);
  bufferevent_enable(slot->stream.get(), EV_READ | EV_WRITE);
  if (!HasCapacity()) {
    listener_.Pause();
  }
}

void Server::OnReadable(Connection& connection) {
  const CallId id = connection.id;
  if (connection.state != Connection::State::kReading) {
    connection.surplus_bytes += loop::TakeInput(connection.stream.get()).size();
    if (connection.surplus_bytes > kMaxSurplusBytes) {
      Close(id);
    }
    return;
  }
  const std::string input = loop::CopyInput(connection.stream.get(), kMaxCallBytes + 1);
  const std::size_t end = input.find('\n');
  if (end == std::string::npos && input.size() <= kMaxCallBytes) {
    return;
  }
  connection.state = Connection::State::kAwaitingReply;
  loop::DrainInput(connection.stream.get(), loop::BufferedInputBytes(connection.stream.get()));
  if (end == std::string::npos) {
    Reply(id,
          FormatError("the call is too long; allowed: at most " + std::to_string(kMaxCallBytes) + " bytes"));
    return;
  }
  const std::string_view received = input;
  const auto parsed = ParseCall(received.substr(0, end));
  if (const auto* error = std::get_if<CallError>(&parsed)) {
    Reply(id, FormatError(error->message));
    return;
  }
  on_call_(id, std::get<Call>(parsed));
}

// A caller may shut down its sending side after the line and still read the reply.
void Server::OnEvent(Connection& connection, loop::EventMask events) {
  if ((events & BEV_EVENT_EOF) == 0 || connection.state == Connection::State::kReplied) {
    Close(connection.id);
    return;
  }
  if (connection.state == Connection::State::kReading) {
    connection.state = Connection::State::kAwaitingReply;
    Reply(connection.id, FormatError("the call has no line end"));
  }
}

void Server::Reply(CallId id, std::string_view line) {
  const auto at = connections_.find(id);
  if (at == connections_.end() || at->second->state != Connection::State::kAwaitingReply) {
    return;
  }
  Connection& connection = *at->second;
  connection.state = Connection::State::kReplied;
  connection.timeout.Start(kLingerTimeout);
  loop::Write(connection.stream.get(), line);
}

void Server::Close(CallId id) { connections_.erase(id); }

}  // namespace walnutspur::management
