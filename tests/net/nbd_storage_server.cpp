// Implements the fake storage servers of the scenarios for NBD.
#include "scenario_limits.h"
#include "storage_server.h"

namespace walnutspur::test {
namespace {

constexpr std::uint32_t kHalfRequestBytes = kNbdRequestBytes / 2;
constexpr std::uint64_t kUnknownCookieOffset = 1000;  // added to a cookie to obtain an unused one

nbd::Error ErrorFor(const std::string& kind) {
  if (kind.starts_with("ok")) {
    return nbd::kOk;
  }
  return kind == "busy" ? nbd::kShutdown : nbd::kIo;
}

}  // namespace

NbdStorageServer::NbdStorageServer(int shard, std::vector<nbd::Export> exports)
    : StorageServer(shard), exports_(std::move(exports)) {}

void NbdStorageServer::OnAccepted(Connection& connection) {
  connection.session = std::make_unique<nbd::ServerSession>(exports_);
  connection.socket.Send(nbd::Greeting());
}

void NbdStorageServer::OnReceived(Connection& connection) {
  std::string out;
  connection.session->Feed(std::exchange(connection.socket.received, ""), &out, &connection.requests);
  connection.socket.Send(out);
}

std::optional<ServerEvent> NbdStorageServer::TakeRequest(Connection& connection) {
  if (connection.requests.empty()) {
    return std::nullopt;
  }
  nbd_request_ = connection.requests.front();
  connection.requests.erase(connection.requests.begin());
  if (nbd_request_.type == nbd::kWrite) {
    return ServerEvent::kWrite;
  }
  return nbd_request_.type == nbd::kFlush ? ServerEvent::kFlush : ServerEvent::kRead;
}

std::string NbdStorageServer::DataAt(std::uint64_t from, std::uint32_t size) const {
  std::string payload;
  nbd::Put<std::uint64_t>(nbd_request_.offset + from, &payload);
  return payload + std::string(size, 'r');
}

std::string NbdStorageServer::SingleChunk(std::uint32_t size) const {
  std::string out;
  nbd::PutChunk(true, nbd::kOffsetData, nbd_request_.cookie, DataAt(0, size), &out);
  return out;
}

// Returns a reply with data for the first half of the range, then a hole for the second half.
std::string NbdStorageServer::SplitResponse() const {
  std::string hole;
  nbd::Put<std::uint64_t>(kHalfRequestBytes, &hole);
  nbd::Put<std::uint32_t>(kHalfRequestBytes, &hole);
  std::string out;
  nbd::PutChunk(false, nbd::kOffsetData, nbd_request_.cookie, DataAt(0, kHalfRequestBytes), &out);
  nbd::PutChunk(true, nbd::kOffsetHole, nbd_request_.cookie, hole, &out);
  return out;
}

// Returns a reply with an error chunk between two data chunks.
std::string NbdStorageServer::TornResponse() const {
  std::string error;
  nbd::Put<std::uint32_t>(nbd::kIo, &error);
  nbd::Put<std::uint16_t>(0, &error);
  std::string out;
  nbd::PutChunk(false, nbd::kOffsetData, nbd_request_.cookie, DataAt(0, kHalfRequestBytes), &out);
  nbd::PutChunk(false, nbd::kErrorOffset, nbd_request_.cookie, error + DataAt(kHalfRequestBytes, 0), &out);
  nbd::PutChunk(true, nbd::kOffsetData, nbd_request_.cookie, DataAt(kHalfRequestBytes, kHalfRequestBytes),
                &out);
  return out;
}

std::optional<std::string> NbdStorageServer::MalformedResponse(const std::string& kind) const {
  std::string out;
  if (kind == "noise") {
    return "noise, and no reply of any kind";
  }
  if (kind == "huge") {  // only the chunk header, with a length that exceeds any request
    nbd::PutChunk(true, nbd::kOffsetData, nbd_request_.cookie, "", &out);
    return out.replace(16, 4, "\xc0\x01\x02\x03");
  }
  if (kind == "short") {  // the last chunk, although it does not cover the whole range
    return SingleChunk(kHalfRequestBytes);
  }
  if (kind == "half") {  // truncated within a chunk
    out = SingleChunk(kNbdRequestBytes);
    out.resize(out.size() / 2);
    return out;
  }
  if (kind == "strange") {
    nbd::PutChunk(true, nbd::kNone, nbd_request_.cookie + kUnknownCookieOffset, "", &out);
    return out;
  }
  return std::nullopt;
}

std::string NbdStorageServer::Response(const std::string& kind) {
  if (const auto malformed = MalformedResponse(kind)) {
    return *malformed;
  }
  if (kind == "split") {
    return SplitResponse();
  }
  if (kind == "torn") {
    return TornResponse();
  }
  std::string out;
  if (kind.starts_with("ok") && nbd_request_.type == nbd::kRead) {
    out = SingleChunk(kNbdRequestBytes);
  } else {
    last_connection_->session->Reply(nbd_request_.cookie, ErrorFor(kind), "", &out);
  }
  const std::string unsolicited = kind == "ok-and-more" ? "m" : "";  // too short to be parsed as a reply
  return out + unsolicited;
}

}  // namespace walnutspur::test
