#include "discovery_server.h"

#include <utility>

#include "core/scheduler_thread.h"
#include "http_message.h"
#include "lab/fakes/chunked_response.h"
#include "scenario_limits.h"

namespace walnutspur::test {
namespace {

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

void DiscoveryServer::SendList(const std::vector<lab::ListedEndpoint>& endpoints, bool complete) {
  Write(lab::FormatEndpointList(++revision_, complete, endpoints) + "\n", kListChunkBytes);
}

void DiscoveryServer::Reject() {
  ++revision_;
  watch_.Send("HTTP/1.1 503 Late\r\nContent-Length: 0\r\n\r\n");
}

void DiscoveryServer::Write(const std::string& text, std::size_t chunk_size) {
  std::string out;
  if (!std::exchange(response_started_, true)) {
    out += lab::kChunkedResponseHead;
  }
  for (std::size_t at = 0; at < text.size(); at += chunk_size) {
    out += lab::FormatChunk(text.substr(at, chunk_size));
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
