#include "lab/storage_server/storage_server.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "core/scheduler_thread.h"
#include "lab/fakes/http_response.h"
#include "loop/stream.h"

namespace walnutspur::lab {
namespace {

constexpr std::uint32_t kMaxCommandBytes = 2 << 20;
constexpr std::size_t kMaxBodyBytes = 1 << 20;
constexpr int kBacklog = 256;
constexpr int kOk = 200;
constexpr std::string_view kHealthCheckPath = "/-/healthy";
constexpr int kClosedOrFailed = BEV_EVENT_EOF | BEV_EVENT_ERROR;

http::MessageReader MakeRequestReader() {
  return http::MessageReader(http::MessageReader::Kind::kRequest, kMaxBodyBytes);
}

}  // namespace

// A client's connection, with the callbacks of its stream.
struct StorageServer::Connection {
  explicit Connection(const std::vector<nbd::Export>& exports) : session(exports) {}

  void OnReadable() { owner->OnReadable(*this); }
  void OnEvent(loop::EventMask events) const {
    if (events & kClosedOrFailed) {
      owner->connections_.erase(number);
    }
  }

  StorageServer* owner = nullptr;
  std::uint64_t number = 0;
  int path = 0;
  bool http = false;
  nbd::ServerSession session;                                    // of an NBD connection
  http::MessageReader reader = MakeRequestReader();              // of an HTTP connection
  std::map<std::uint64_t, loop::EventHandle> delayed_responses;  // a timer for each response
  std::uint64_t next_response = 1;
  loop::StreamPtr stream;
};

StorageServer::StorageServer(const StorageServerOptions& options)
    : options_(options),
      device_(options.size, options.seed, options.file),
      faulty_device_(&device_, &faults_),
      objects_(&device_, &faults_) {
  device_.KeepHistory();
  exports_.push_back({options.export_name, options.size, kMaxCommandBytes, options.flags});
  Listen();
}

StorageServer::~StorageServer() { loop_.Stop(); }

void StorageServer::Start() { loop_.Start(); }

void StorageServer::Listen() {
  const int count = options_.paths + (options_.http ? 1 : 0);
  for (int path = 0; path < count; ++path) {
    const int port = options_.first_port > 0 ? options_.first_port + path : 0;
    const loop::Address address{options_.host, static_cast<std::uint16_t>(port)};
    loop::ListenerCallbacks callbacks;
    callbacks.on_accept = [this, path](evutil_socket_t fd) { OnAccept(path, fd); };
    try {
      listeners_.push_back(std::make_unique<loop::Listener>(
          loop_.base(), address, loop::ListenerOptions{kBacklog, true}, callbacks));
    } catch (const loop::ListenError& error) {
      throw StorageServerError("the storage server cannot listen: " + error.reason());
    }
  }
}

bool StorageServer::IsHttpListener(std::size_t index) const {
  return options_.http && index + 1 == listeners_.size();
}

void StorageServer::AddFault(const Fault& fault) {
  const std::lock_guard lock(mutex_);
  if (fault.kind == CorruptionKind::kStoredBitFlip) {
    faulty_device_.FlipStoredBits(fault);
    return;
  }
  faults_.Add(fault);
}

void StorageServer::ClearFaults() {
  const std::lock_guard lock(mutex_);
  faults_.Clear();
}

std::uint64_t StorageServer::injections(CorruptionKind kind) const {
  const std::lock_guard lock(mutex_);
  return faults_.injections(kind);
}

std::uint64_t StorageServer::commands() const {
  const std::lock_guard lock(mutex_);
  return commands_;
}

void StorageServer::SetService(std::int64_t us) {
  const std::lock_guard lock(mutex_);
  options_.service = us;
}

void StorageServer::OnAccept(int path, evutil_socket_t fd) {
  auto accepted = std::make_unique<Connection>(exports_);
  Connection* connection = accepted.get();
  connection->owner = this;
  connection->number = next_connection_++;
  connection->path = path;
  connection->http = IsHttpListener(static_cast<std::size_t>(path));
  connection->stream = loop::AdoptSocket(loop_.base(), fd);
  if (!connection->stream) {
    return;
  }
  loop::DisableNagle(fd);
  loop::SetCallbacks(connection->stream.get(), connection);
  connections_[connection->number] = std::move(accepted);
  bufferevent_enable(connection->stream.get(), EV_READ | EV_WRITE);
  if (!connection->http) {
    loop::Write(connection->stream.get(), nbd::Greeting());
  }
}

void StorageServer::OnReadable(Connection& connection) {
  const std::lock_guard lock(mutex_);
  const std::string bytes = loop::TakeInput(connection.stream.get());
  const bool keep_open = connection.http ? ReceiveHttp(connection, bytes) : ReceiveNbd(connection, bytes);
  if (!keep_open) {
    connections_.erase(connection.number);
  }
}

bool StorageServer::ReceiveNbd(Connection& connection, std::string_view bytes) {
  std::string handshake;
  std::vector<nbd::Request> requests;
  connection.session.Feed(bytes, &handshake, &requests);
  if (!handshake.empty()) {
    loop::Write(connection.stream.get(), handshake);
  }
  for (const nbd::Request& request : requests) {
    ExecuteNbd(connection, request);
  }
  return !connection.session.ended();
}

bool StorageServer::ReceiveHttp(Connection& connection, std::string_view bytes) {
  while (!bytes.empty() && !connection.reader.malformed()) {
    bytes.remove_prefix(connection.reader.Feed(bytes));
    if (connection.reader.complete()) {
      Respond(connection, ExecuteHttp(connection.reader));
      connection.reader = MakeRequestReader();
    }
  }
  return !connection.reader.malformed();
}

bool StorageServer::IsOutOfRange(const nbd::Request& request) const {
  if (request.type == nbd::kFlush) {
    return false;
  }
  return request.oversized || request.offset > options_.size ||
         request.length > options_.size - request.offset || request.length == 0;
}

void StorageServer::ExecuteNbd(Connection& connection, const nbd::Request& request) {
  ++commands_;
  const nbd::ServerSession& session = connection.session;
  std::string out;
  if (IsOutOfRange(request)) {
    const nbd::Error error = request.type == nbd::kWrite ? nbd::kNoSpace : nbd::kInvalid;
    session.Reply(request.cookie, error, "past the end", &out);
  } else if (request.type == nbd::kRead) {
    const std::string data = faulty_device_.Read(connection.path, request.offset, request.length);
    session.Reply(request.cookie, {{request.offset, data, 0}}, &out);
  } else if (request.type == nbd::kWrite) {
    faulty_device_.Write(request.offset, request.data, (request.flags & nbd::kFua) != 0);
    session.Reply(request.cookie, nbd::kOk, "", &out);
  } else if (request.type == nbd::kFlush) {
    device_.Flush();
    session.Reply(request.cookie, nbd::kOk, "", &out);
  } else {
    session.Reply(request.cookie, nbd::kInvalid, "unknown command", &out);
  }
  Respond(connection, std::move(out));
}

// Executes a request. The key of an object is its path; the digest of a write is stored and returned with
// every read.
std::string StorageServer::ExecuteHttp(http::MessageReader& request) {
  ++commands_;
  std::string headers;
  std::string body;
  const std::string& key = request.uri();
  if (key == kHealthCheckPath) {
    // Empty: the server is healthy whenever it responds.
  } else if (request.method() == "PUT") {
    objects_.Put(key, {request.Joined("Content-Digest"), request.body()});
    body = "stored";
  } else {
    const std::optional<StoredObject> object = objects_.Get(key);
    body = object ? object->body : "nothing";
    if (object && !object->digest.empty()) {
      headers = "Content-Digest: " + object->digest + "\r\n";
    }
  }
  return FormatHttpResponse(kOk, body, headers);
}

void StorageServer::Respond(Connection& connection, std::string bytes) {
  std::int64_t wait = options_.delay;
  if (options_.service > 0) {
    const std::int64_t now = core::Now();
    busy_until_ = std::max(busy_until_, now) + options_.service;
    wait += busy_until_ - now;
  }
  if (wait == 0) {
    loop::Write(connection.stream.get(), bytes);
    return;
  }
  const std::uint64_t key = connection.next_response++;
  Connection* receiver = &connection;
  loop::EventHandle timer = loop::MakeTimer(loop_.base(), [receiver, key, bytes = std::move(bytes)] {
    loop::Write(receiver->stream.get(), bytes);
    receiver->delayed_responses.erase(key);
  });
  timer.Start(wait);
  connection.delayed_responses[key] = std::move(timer);
}

}  // namespace walnutspur::lab
