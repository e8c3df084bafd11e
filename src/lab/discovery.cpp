#include "lab/discovery.h"

#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include "http/message_reader.h"
#include "loop/stream.h"

namespace walnutspur::lab {
namespace {

constexpr Time kHeartbeatInterval = 1'000'000;  // us between empty lines; clients expect one within 2 s
constexpr int kBacklog = 64;
constexpr int kClosedOrFailed = BEV_EVENT_EOF | BEV_EVENT_ERROR;

// One line as a chunk of a chunked response.
std::string FormatChunk(const std::string& line) {
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", line.size() + 1);
  return size.data() + line + "\n\r\n";
}

}  // namespace

// A client's connection, with the callbacks of its stream.
struct Discovery::Connection {
  void OnReadable() { owner->OnReadable(*this); }
  void OnEvent(loop::EventMask what) {
    if (what & kClosedOrFailed) {
      owner->connections_.erase(this);
    }
  }

  Discovery* owner = nullptr;
  http::MessageReader reader{http::MessageReader::Kind::kRequest};
  bool watches = false;
  loop::StreamPtr stream;
};

Discovery::Discovery()
    : members_changed_(loop_.base(), -1, EV_PERSIST, [this] { OnMembersChanged(); }),
      heartbeat_(loop_.base(), -1, EV_PERSIST, [this] { Broadcast(""); }) {
  heartbeat_.Start(kHeartbeatInterval);
  loop::ListenerCallbacks callbacks;
  callbacks.on_accept = [this](evutil_socket_t fd) { OnAccept(fd); };
  try {
    listener_ = std::make_unique<loop::Listener>(loop_.base(), loop::Address{"127.0.0.1", 0},
                                                 loop::ListenerOptions{kBacklog, false}, callbacks);
  } catch (const loop::ListenError&) {
    throw DiscoveryError("discovery cannot listen");
  }
  loop_.Start();
}

Discovery::~Discovery() { loop_.Stop(); }

void Discovery::Set(const Member& member) {
  {
    const std::lock_guard lock(mutex_);
    ++revision_;
    changes_[member.id] = member;
    members_[member.id] = member;
    if (member.phase == "DELETED") {
      members_.erase(member.id);
    }
  }
  members_changed_.Activate();
}

void Discovery::OnMembersChanged() {
  std::string line;
  {
    const std::lock_guard lock(mutex_);
    if (changes_.empty()) {
      return;
    }
    line = FormatList(false, std::exchange(changes_, {}));
  }
  Broadcast(line);
}

void Discovery::Broadcast(const std::string& line) {
  const std::string chunk = FormatChunk(line);
  for (auto& [key, connection] : connections_) {
    if (connection->watches) {
      loop::Write(connection->stream.get(), chunk);
    }
  }
}

std::string Discovery::FormatList(bool complete, const std::map<std::string, Member>& members) const {
  nlohmann::json list = {
      {"revision", revision_}, {"complete", complete}, {"members", nlohmann::json::array()}};
  for (const auto& [id, member] : members) {
    list["members"].push_back({{"id", member.id},
                               {"host_port", member.host_port},
                               {"locality", "a"},
                               {"flavor", "x"},
                               {"cell", member.shard},
                               {"phase", member.phase},
                               {"size", 1.0},
                               {"up_since_ms", member.up_since_ms}});
  }
  return list.dump();
}

void Discovery::OnAccept(evutil_socket_t fd) {
  auto made = std::make_unique<Connection>();
  Connection* connection = made.get();
  connection->owner = this;
  connection->stream = loop::AdoptSocket(loop_.base(), fd);
  if (!connection->stream) {
    return;
  }
  loop::SetCallbacks(connection->stream.get(), connection);
  connections_[connection] = std::move(made);
  bufferevent_enable(connection->stream.get(), EV_READ | EV_WRITE);
}

// A watch starts with the complete list, whichever revision the client already has: that is always correct.
void Discovery::OnReadable(Connection& connection) {
  connection.reader.Feed(loop::TakeInput(connection.stream.get()));
  if (!connection.reader.complete()) {
    return;
  }
  std::string list;
  {
    const std::lock_guard lock(mutex_);
    list = FormatList(true, members_);
  }
  connection.watches = connection.reader.uri().find("follow=1") != std::string::npos;
  connection.reader = http::MessageReader(http::MessageReader::Kind::kRequest);
  if (connection.watches) {
    loop::Write(connection.stream.get(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    loop::Write(connection.stream.get(), FormatChunk(list));
    return;
  }
  const std::string size = std::to_string(list.size());
  loop::Write(connection.stream.get(), "HTTP/1.1 200 OK\r\nContent-Length: " + size + "\r\n\r\n" + list);
}

}  // namespace walnutspur::lab
