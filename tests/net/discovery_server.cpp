#include "discovery_server.h"

#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/scheduler_thread.h"
#include "http_message.h"
#include "scenario_limits.h"

namespace walnutspur::test {
namespace {

using nlohmann::json;

constexpr std::size_t kListChunkBytes = 20;

}  // namespace

DiscoveryServer::DiscoveryServer() {
  int port = 0;
  listener_ = Socket::Listen(&port);
  port_ = port;
}

std::string DiscoveryServer::WaitForWatch(int ms) {
  const Time until = core::Now() + FromMilliseconds(ms);
  if (listener_.Readable(ms)) {
    watch_ = listener_.Accept();
    response_started_ = false;
  }
  const auto remaining_ms = static_cast<int>((until - core::Now()) / 1000);
  HttpMessage request;
  if (!ReadHttpMessage(watch_, &request, remaining_ms)) {
    return "nothing";
  }
  return request.start_line;
}

void DiscoveryServer::SendList(const std::vector<DiscoveryMember>& members, bool complete) {
  json list = {{"revision", ++revision_}, {"complete", complete}, {"members", json::array()}};
  for (const DiscoveryMember& member : members) {
    list["members"].push_back({{"id", member.id},
                               {"host_port", "127.0.0.1:" + std::to_string(member.port)},
                               {"phase", member.state},
                               {"cell", member.shard}});
  }
  Write(list.dump() + "\n", kListChunkBytes);
}

void DiscoveryServer::Reject() {
  ++revision_;
  watch_.Send("HTTP/1.1 503 Late\r\nContent-Length: 0\r\n\r\n");
}

void DiscoveryServer::Write(const std::string& text, std::size_t chunk_size) {
  std::string out;
  if (!std::exchange(response_started_, true)) {
    out += "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  }
  for (std::size_t at = 0; at < text.size(); at += chunk_size) {
    const std::string part = text.substr(at, chunk_size);
    std::array<char, 16> size;
    std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
    out += size.data() + part + "\r\n";
  }
  watch_.Send(out);
}

void DiscoveryServer::Move() {
  int port = 0;
  listener_ = Socket::Listen(&port);
  port_ = port;
  old_watch_ = std::move(watch_);
  response_started_ = false;
}

}  // namespace walnutspur::test
