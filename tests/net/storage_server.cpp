#include "storage_server.h"

#include <doctest/doctest.h>

#include "core/scheduler_thread.h"
#include "scenario_limits.h"

namespace walnutspur::test {

std::string NameOf(ServerEvent event) {
  switch (event) {
    case ServerEvent::kRead:
      return "read";
    case ServerEvent::kWrite:
      return "write";
    case ServerEvent::kFlush:
      return "flush";
    case ServerEvent::kClosed:
      return "closed";
    case ServerEvent::kNothing:
      return "nothing";
  }
  return "";
}

StorageServer::StorageServer(int shard) : shard_(shard), listener_(Socket::Listen(&port_)) {}

std::optional<ServerEvent> StorageServer::TakeAnyRequest() {
  for (const auto& connection : connections_) {
    if (const auto event = TakeRequest(*connection)) {
      last_connection_ = connection.get();
      return event;
    }
  }
  return std::nullopt;
}

bool StorageServer::ReadConnections(const std::vector<pollfd>& polled) {
  for (std::size_t i = 1; i < polled.size(); ++i) {
    Connection& connection = *connections_[i - 1];
    if (polled[i].revents == 0 || !connection.socket.open()) {
      continue;
    }
    if (!connection.socket.Fill(0) && !connection.socket.open()) {
      return false;
    }
    OnReceived(connection);
  }
  return true;
}

ServerEvent StorageServer::WaitForEvent(int ms) {
  const Time until = core::Now() + FromMilliseconds(ms);
  while (true) {
    if (const auto event = TakeAnyRequest()) {
      return *event;
    }
    std::vector<pollfd> polled{{listener_.fd(), POLLIN, 0}};
    for (const auto& connection : connections_) {
      polled.push_back({connection->socket.fd(), POLLIN, 0});
    }
    const auto remaining_ms = static_cast<int>((until - core::Now()) / 1000);
    if (remaining_ms <= 0 || poll(polled.data(), polled.size(), remaining_ms) <= 0) {
      return ServerEvent::kNothing;
    }
    if (polled[0].revents != 0) {
      connections_.push_back(std::make_unique<Connection>());
      connections_.back()->socket = listener_.Accept();
      OnAccepted(*connections_.back());
    }
    if (!ReadConnections(polled)) {
      return ServerEvent::kClosed;
    }
  }
}

void StorageServer::Respond(const std::string& kind) {
  REQUIRE(last_connection_);
  REQUIRE(last_connection_->socket.Send(Response(kind)));
}

void StorageServer::SendBytes(const std::string& bytes) {
  REQUIRE(last_connection_);
  REQUIRE(last_connection_->socket.Send(bytes));
}

void StorageServer::CloseConnection(bool reset) {
  if (last_connection_) {
    last_connection_->socket.Close(reset);
  }
}

}  // namespace walnutspur::test
