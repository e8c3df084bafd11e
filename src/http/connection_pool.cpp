#include "http/connection_pool.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/scheduler_thread.h"

namespace walnutspur::http {
namespace {

// Maximum fraction of the process's file descriptors for connections to targets.
constexpr double kTargetSocketFraction = 0.35;

// Idle connections are closed after this fraction of the targets' idle timeout. If a request crosses the
// target's close, it is unknown whether the request has run.
constexpr double kIdleTimeoutFraction = 0.8;

// Connect timeout of a connection without an attempt, us.
constexpr Time kSpareTimeout = 2'000'000;

}  // namespace

ConnectionPool::ConnectionPool(event_base* base, const Config& config, TargetConnectionHandler* handler)
    : base_(base),
      config_(config),
      handler_(handler),
      free_discarded_(loop::MakeTimer(base, [this] { discarded_.clear(); })) {
  SetSocketLimit(config.sockets);
}

void ConnectionPool::SetSocketLimit(int sockets) {
  max_connections_ = static_cast<std::size_t>(sockets * kTargetSocketFraction);
}

void ConnectionPool::SetAddress(const TargetId& target, const std::string& address) {
  std::string& known = addresses_[target];
  if (known == address) {
    return;
  }
  known = address;
  CloseIdle(target);
}

void ConnectionPool::Remove(const TargetId& target) {
  addresses_.erase(target);
  CloseIdle(target);
}

void ConnectionPool::RetainOnly(const std::set<TargetId>& targets) {
  std::vector<TargetId> removed;
  for (const auto& [target, address] : addresses_) {
    if (!targets.contains(target)) {
      removed.push_back(target);
    }
  }
  for (const TargetId& target : removed) {
    Remove(target);
  }
}

void ConnectionPool::CloseIdle(const TargetId& target) {
  if (const auto spare = spares_.find(target); spare != spares_.end()) {
    Discard(*spare->second);
  }
  const auto at = idle_.find(target);
  if (at == idle_.end()) {
    return;
  }
  const std::vector<TargetConnection*> idle = std::move(at->second);
  idle_.erase(at);
  for (TargetConnection* connection : idle) {
    Discard(*connection);
  }
}

// Prefers the most recently used connection that is settled, else the connection whose last response is the
// oldest. An idle connection with pending input, including an end of stream, cannot be used: the input would
// be taken for the response to the next request, and it would be unknown whether a request that meets the end
// of the stream has run.
TargetConnection* ConnectionPool::TakeIdle(const TargetId& target) {
  const Time now = core::Now();
  while (true) {
    const auto at = idle_.find(target);
    if (at == idle_.end()) {
      return nullptr;
    }
    std::vector<TargetConnection*>& idle = at->second;
    auto best = std::find_if(idle.rbegin(), idle.rend(), [now](const TargetConnection* connection) {
      return connection->IsSettled(now);
    });
    if (best == idle.rend()) {
      best = std::prev(idle.rend());
    }
    TargetConnection* connection = *best;
    if (connection->HasPendingInput()) {
      Discard(*connection);
      continue;
    }
    idle.erase(std::next(best).base());
    if (idle.empty()) {
      idle_.erase(at);
    }
    connection->StopIdleTimeout();
    return connection;
  }
}

// Returns whether the descriptor limit allows a new connection. Closes an idle or spare one if necessary.
bool ConnectionPool::EnsureCapacity() {
  if (connections_.size() < max_connections_) {
    return true;
  }
  if (idle_.empty() && spares_.empty()) {
    return false;
  }
  Discard(idle_.empty() ? *spares_.begin()->second : *idle_.begin()->second.front());
  return true;
}

TargetConnection* ConnectionPool::Open(const TargetId& target) {
  const auto known = addresses_.find(target);
  if (known == addresses_.end() || known->second.empty() || !EnsureCapacity()) {
    return nullptr;
  }
  sockaddr_in address{};
  try {
    address = loop::ToSocket(loop::ParseAddress(known->second));
  } catch (const loop::AddressError&) {
    return nullptr;  // discovery has sent an invalid address
  }
  loop::StreamPtr stream = loop::MakeClientStream(base_);
  if (!stream) {
    return nullptr;
  }
  const std::uint64_t number = next_connection_++;
  std::unique_ptr<TargetConnection>& slot = connections_[number];
  slot = std::make_unique<TargetConnection>(base_, number, target, std::move(stream), handler_);
  TargetConnection* connection = slot.get();
  if (!connection->Connect(address)) {
    Discard(*connection);
    return nullptr;
  }
  return connection;
}

void ConnectionPool::Return(TargetConnection& connection) {
  if (!addresses_.contains(connection.target())) {
    Discard(connection);
    return;
  }
  connection.MarkIdle();
  idle_[connection.target()].push_back(&connection);
  connection.StartIdleTimeout(
      static_cast<Time>(kIdleTimeoutFraction * static_cast<double>(config_.idle_timeout)));
}

void ConnectionPool::KeepSpare(TargetConnection& connection) {
  connection.MarkSpare();
  spares_[connection.target()] = &connection;
  connection.StartConnectTimeout(kSpareTimeout);
}

void ConnectionPool::OnSpareConnected(TargetConnection& connection) {
  spares_.erase(connection.target());
  Return(connection);
}

void ConnectionPool::Discard(TargetConnection& connection) {
  const auto at = connections_.find(connection.number());
  if (at == connections_.end()) {
    return;
  }
  if (connection.state() == TargetConnection::State::kSpare) {
    spares_.erase(connection.target());
  }
  if (const auto idle = idle_.find(connection.target()); idle != idle_.end()) {
    std::erase(idle->second, &connection);
    if (idle->second.empty()) {
      idle_.erase(idle);
    }
  }
  connection.Shutdown();
  discarded_.push_back(std::move(at->second));
  connections_.erase(at);
  free_discarded_.Start(0);
}

std::size_t ConnectionPool::idle_connections(const TargetId& target) const {
  const auto at = idle_.find(target);
  return at == idle_.end() ? 0 : at->second.size();
}

std::map<TargetId, std::uint32_t> ConnectionPool::connections_by_target() const {
  std::map<TargetId, std::uint32_t> count;
  for (const auto& [number, connection] : connections_) {
    ++count[connection->target()];
  }
  return count;
}

}  // namespace walnutspur::http
