#include "lab/pressure/pressure_client.h"

#include <algorithm>
#include <csignal>
#include <cstddef>

#include "lab/fakes/platform_request.h"
#include "loop/peer.h"

namespace walnutspur::lab::pressure {
namespace {

constexpr Time kReconnectDelay = 20'000;  // us
constexpr Time kStay = 1'500;             // us until a client leaves; the targets take longer to respond
constexpr Time kPieceInterval = 100'000;  // us between the pieces of a slow body
constexpr std::size_t kPieceBytes = 6'400;
constexpr Time kDeadline = 1'200'000;  // us, as stated in the requests
constexpr Time kShortDeadline = 1;     // us; the response does not depend on a target

constexpr std::size_t kBodyBytes = 64 << 10;
constexpr std::size_t kLargeBodyBytes = 4 << 20;
constexpr int kShortFields = 4'000;   // in a head of 16 KiB
constexpr int kRequestsAtOnce = 100;  // of a client that sends at full speed

// First id of requests and volumes; it begins with kPressingIdPrefix.
constexpr std::uint64_t kFirstRequest = std::uint64_t{0xE} << 60U;
constexpr std::uint64_t kUsesOfId = 3;

std::string BodyHead(std::uint64_t request, std::size_t body_bytes) {
  PlatformRequest put;
  put.is_put = true;
  put.path = "/api/" + FormatId(1) + "/" + FormatId(request);
  put.id = request;
  put.request_class = "write";
  put.deadline = kDeadline;
  std::string head = FormatPlatformRequest(put);
  const std::string no_body = "Content-Length: 0\r\n\r\n";
  head.resize(head.size() - no_body.size());
  return head + "Content-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
}

std::string ManyFields() {
  std::string head = "GET /api/1/2 HTTP/1.1\r\n";
  for (int field = 0; field < kShortFields; ++field) {
    head += "a:\r\n";
  }
  return head;
}

}  // namespace

std::string_view NameOf(PressureKind kind) {
  switch (kind) {
    case PressureKind::kPartialBodies:
      return "partial-bodies";
    case PressureKind::kPartialLargeBodies:
      return "partial-large-bodies";
    case PressureKind::kSlowBodies:
      return "slow-bodies";
    case PressureKind::kManyFields:
      return "many-fields";
    case PressureKind::kUnreadResponses:
      return "unread-responses";
    case PressureKind::kReadinessChecks:
      return "readiness-checks";
    case PressureKind::kNewVolumes:
      return "new-volumes";
    case PressureKind::kUnsoundRequests:
      return "unsound-requests";
    case PressureKind::kAbandonedRequests:
      return "abandoned-requests";
    case PressureKind::kRepeatedIds:
      return "repeated-ids";
  }
  return "";
}

std::optional<PressureKind> ParsePressureKind(std::string_view name) {
  const auto* const found = std::find_if(std::begin(kAllPressureKinds), std::end(kAllPressureKinds),
                                         [name](PressureKind kind) { return NameOf(kind) == name; });
  return found == std::end(kAllPressureKinds) ? std::nullopt : std::optional(*found);
}

PressureClient::PressureClient(const PressureOptions& options)
    : options_(options), next_request_(kFirstRequest) {
  std::signal(SIGPIPE, SIG_IGN);  // the server may close a connection at any time
  for (int number = 0; number < options.connections; ++number) {
    connections_.push_back(std::make_unique<Connection>());
    Connection* connection = connections_.back().get();
    connection->owner = this;
    connection->next_step = loop::MakeTimer(loop_.base(), [this, connection] { Step(*connection); });
    connection->next_step.Start(0);
  }
  loop_.Start();
}

PressureClient::~PressureClient() {
  loop_.Stop();
  connections_.clear();
  event_base_loop(loop_.base(), EVLOOP_NONBLOCK);  // frees streams with a pending callback
}

void PressureClient::Step(Connection& connection) {
  if (!connection.stream) {
    Connect(connection);
    return;
  }
  if (options_.kind == PressureKind::kRepeatedIds) {
    LeaveBeforeResponse(connection);
    return;
  }
  Write(connection, std::string(kPieceBytes, 'x'));
  connection.next_step.Start(kPieceInterval);
}

// An id whose request has a response is not used again.
void PressureClient::LeaveBeforeResponse(Connection& connection) {
  bufferevent* stream = connection.stream.get();
  if (loop::BufferedInputBytes(stream) > 0 || loop::HasUnreadBytes(bufferevent_getfd(stream))) {
    connection.uses_of_id = 0;
  }
  Disconnect(connection);
}

void PressureClient::Disconnect(Connection& connection) {
  connection.stream.reset();
  connection.next_step.Start(kReconnectDelay);
}

void PressureClient::Connect(Connection& connection) {
  ++connects_;
  connection.stream = loop::MakeClientStream(loop_.base());
  loop::SetCallbacks(connection.stream.get(), &connection);
  bufferevent_enable(connection.stream.get(), EV_READ | EV_WRITE);
  loop::Connect(connection.stream.get(), loop::ToSocket(options_.server));
}

void PressureClient::OnEvent(Connection& connection, loop::EventMask events) {
  if ((events & BEV_EVENT_CONNECTED) != 0) {
    if (!ReadsResponses()) {
      loop::PauseReading(connection.stream.get());
    }
    Write(connection, FirstBytes(connection));
    if (options_.kind == PressureKind::kSlowBodies) {
      connection.next_step.Start(kPieceInterval);
    } else if (options_.kind == PressureKind::kRepeatedIds) {
      connection.next_step.Start(kStay);
    }
    return;
  }
  Disconnect(connection);
}

void PressureClient::OnReadable(Connection& connection) {
  const std::size_t size = loop::BufferedInputBytes(connection.stream.get());
  bytes_read_ += size;
  connection.uses_of_id = 0;
  loop::DrainInput(connection.stream.get(), size);
  if (options_.kind == PressureKind::kNewVolumes) {
    Write(connection, NextRead(kShortDeadline));
  }
}

void PressureClient::OnWritten(Connection& connection) {
  if (options_.kind == PressureKind::kAbandonedRequests) {
    Disconnect(connection);
    return;
  }
  Write(connection, NextBytes());
}

void PressureClient::Write(Connection& connection, std::string_view bytes) {
  if (!bytes.empty()) {
    bytes_written_ += bytes.size();
    loop::Write(connection.stream.get(), bytes);
  }
}

bool PressureClient::ReadsResponses() const {
  return options_.kind != PressureKind::kUnreadResponses && options_.kind != PressureKind::kReadinessChecks;
}

std::string PressureClient::FirstBytes(Connection& connection) {
  switch (options_.kind) {
    case PressureKind::kPartialBodies:
      return BodyHead(next_request_++, kBodyBytes) + std::string(kBodyBytes - 1, 'x');
    case PressureKind::kPartialLargeBodies:
      return BodyHead(next_request_++, kLargeBodyBytes) + std::string(kLargeBodyBytes / 2, 'x');
    case PressureKind::kSlowBodies:
      return BodyHead(next_request_++, kBodyBytes);
    case PressureKind::kManyFields:
      return ManyFields();
    case PressureKind::kUnreadResponses:
      return NextRead(kDeadline);
    case PressureKind::kNewVolumes:
      return NextRead(kShortDeadline);
    case PressureKind::kAbandonedRequests:
      return NextReads();
    case PressureKind::kRepeatedIds:
      if (connection.uses_of_id++ % kUsesOfId == 0) {
        connection.repeated_id = next_request_++;
      }
      return BodyHead(connection.repeated_id, 1) + "x";
    case PressureKind::kReadinessChecks:
    case PressureKind::kUnsoundRequests:
      return NextBytes();
  }
  return "";
}

std::string PressureClient::NextRead(Time deadline) {
  PlatformRequest read;
  read.id = next_request_++;
  read.path = "/api/" + FormatId(read.id) + "/" + FormatId(read.id);
  read.request_class = "read";
  read.deadline = deadline;
  read.shard = read.id % static_cast<std::uint64_t>(options_.shards);
  return FormatPlatformRequest(read);
}

std::string PressureClient::NextReads() {
  std::string reads;
  for (int request = 0; request < kRequestsAtOnce; ++request) {
    reads += NextRead(kDeadline);
  }
  return reads;
}

std::string PressureClient::NextBytes() const {
  std::string bytes;
  for (int request = 0; request < kRequestsAtOnce; ++request) {
    switch (options_.kind) {
      case PressureKind::kReadinessChecks:
        bytes += "GET /-/ready HTTP/1.1\r\n\r\n";
        break;
      case PressureKind::kUnsoundRequests:
        bytes += "GET /api/1 HTTP/1.1\r\n\r\n";
        break;
      default:
        return "";
    }
  }
  return bytes;
}

}  // namespace walnutspur::lab::pressure
