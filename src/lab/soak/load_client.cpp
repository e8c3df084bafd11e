#include "lab/soak/load_client.h"

#include <algorithm>
#include <utility>

#include "core/clock.h"
#include "loop/address.h"
#include "loop/peer.h"

namespace walnutspur::lab::soak {
namespace {

constexpr Time kReconnectDelay = 30'000;  // us
constexpr Time kResponseGrace =
    500'000;  // us past its deadline after which a request counts as without a response
constexpr Time kReadDelay = 20'000;  // us in which the loop reads what has arrived
constexpr int kStatusOk = 200;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusUnavailable = 503;

// Returns the sum of the stalls of the loop that have ended after `since`, us.
Time StallsSince(const Record& record, Time since) {
  Time sum = 0;
  for (const Span& stall : record.stalls) {
    sum += std::max<Time>(0, stall.until - std::max(stall.from, since));
  }
  return sum;
}

// Returns whether bytes of the process wait in the kernel or in the stream's buffer.
bool HasUnreadInput(bufferevent* stream) {
  return loop::BufferedInputBytes(stream) > 0 || loop::HasUnreadBytes(bufferevent_getfd(stream));
}

// Low bits of a request's id, which count the requests of one process; the high bits are the process.
constexpr unsigned kRequestNumberBits = 48;

ClientResult ResultOf(int status) {
  if (status == kStatusOk) {
    return ClientResult::kServed;
  }
  const bool is_rejected = status == kStatusTooManyRequests || status == kStatusUnavailable;
  return is_rejected ? ClientResult::kRejected : ClientResult::kFailed;
}

}  // namespace

LoadClient::LoadClient(event_base* base, int process, const loop::Address& server, const LoadOptions& options,
                       std::uint64_t seed, Record* record)
    : base_(base),
      process_(process),
      server_(server),
      options_(options),
      random_(seed, "load", static_cast<std::uint64_t>(process)),
      record_(record) {
  next_request_ += static_cast<std::uint64_t>(random_.Below(1U << 30U))
                   << 12U;  // ids of a restarted client differ
  for (int number = 0; number < options_.connections; ++number) {
    Connection& connection = connections_[number];
    connection.owner = this;
    connection.number = number;
    connection.next_request = loop::MakeTimer(base, [this, &connection] { SendNext(connection); });
    connection.deadline = loop::MakeTimer(base, [this, &connection] { OnDeadline(connection); });
    connection.disconnect_timer =
        loop::MakeTimer(base, [this, &connection] { Finish(connection, ClientResult::kDisconnected); });
    if (options_.starts_at_once) {
      connection.next_request.Start(0);
    } else {
      ThinkThenSend(connection);
    }
  }
}

LoadClient::~LoadClient() = default;

void LoadClient::ThinkThenSend(Connection& connection) {
  connection.next_request.Start(
      static_cast<Time>(random_.Exponential(static_cast<double>(options_.think_time))));
}

void LoadClient::Connect(Connection& connection) {
  connection.stream = loop::MakeClientStream(base_);
  connection.opened_at = core::Now();
  connection.is_connected = false;
  connection.was_used = false;
  loop::SetCallbacks(connection.stream.get(), &connection);
  bufferevent_enable(connection.stream.get(), EV_READ | EV_WRITE);
  loop::Connect(connection.stream.get(), loop::ToSocket(server_));
}

PlatformRequest LoadClient::NextRequest(bool is_write) {
  PlatformRequest request;
  request.is_put = is_write;
  request.id = (static_cast<std::uint64_t>(process_) << kRequestNumberBits) + next_request_++;
  request.request_class = is_write ? "write" : "read";
  request.deadline = options_.deadline;
  request.shard = random_.Below(static_cast<std::uint64_t>(options_.shards));
  request.path = "/api/00000003b4d6000" + std::to_string(request.shard % 10) + "/" + FormatId(request.id);
  request.body = is_write ? std::string(options_.body_bytes, 'd') : "";
  return request;
}

void LoadClient::SendNext(Connection& connection) {
  if (connection.request_id.empty()) {
    if (is_stopped_) {
      return;
    }
    const bool is_write = random_.Chance(options_.write_fraction);
    const PlatformRequest next = NextRequest(is_write);
    connection.request_id = FormatId(next.id);
    connection.request_text = FormatPlatformRequest(next);
    connection.is_retry = false;
    ClientRequest& request = record_->requests[connection.request_id];
    request.process = process_;
    request.shard = static_cast<int>(next.shard);
    request.is_idempotent = !is_write;
    request.deadline = options_.deadline;
    request.sent_at = core::Now();
  }
  if (!connection.stream) {
    Connect(connection);
    return;  // OnEvent writes the request once the connection is up
  }
  WriteRequest(connection);
}

void LoadClient::WriteRequest(Connection& connection) {
  ClientRequest& request = record_->requests[connection.request_id];
  request.opened_at = connection.was_used ? 0 : connection.opened_at;
  request.connection_had_ended = loop::PeerHasClosed(bufferevent_getfd(connection.stream.get()));
  connection.response = http::MessageReader(http::MessageReader::Kind::kResponse);
  loop::Write(connection.stream.get(), connection.request_text);
  request.sent_at = core::Now();
  loop::FlushOutput(connection.stream.get());
  connection.deadline.Start(options_.deadline + kResponseGrace);
  if (random_.Chance(options_.disconnect_fraction)) {
    connection.disconnect_timer.Start(
        static_cast<Time>(random_.Uniform() * static_cast<double>(options_.deadline)));
  }
}

// Gives the process as much time again as the loop of this client has missed, since the machine may have
// stopped the process too. Input that waits unread came before the timer fired.
void LoadClient::OnDeadline(Connection& connection) {
  const Time sent_at = record_->requests[connection.request_id].sent_at;
  const Time left =
      sent_at + options_.deadline + kResponseGrace + StallsSince(*record_, sent_at) - core::Now();
  if (left > 0 || HasUnreadInput(connection.stream.get())) {
    connection.deadline.Start(std::max(left, kReadDelay));
    return;
  }
  Finish(connection, ClientResult::kNoResponse);
}

void LoadClient::OnReadable(Connection& connection) {
  while (true) {
    const std::string_view chunk = loop::FirstInputChunk(connection.stream.get());
    if (chunk.empty()) {
      return;
    }
    loop::DrainInput(connection.stream.get(), connection.response.Feed(chunk));
    if (connection.response.malformed() || connection.request_id.empty()) {
      OnConnectionClosed(connection);
      return;
    }
    if (connection.response.complete()) {
      const bool keeps_alive = connection.response.keeps_alive();
      connection.was_used = true;
      Finish(connection, ResultOf(connection.response.code()));
      if (!keeps_alive || random_.Chance(options_.reconnect_fraction)) {
        connection.stream.reset();
      }
      return;
    }
  }
}

void LoadClient::OnEvent(Connection& connection, loop::EventMask events) {
  if ((events & BEV_EVENT_CONNECTED) != 0) {
    connection.is_connected = true;
    loop::DisableNagle(bufferevent_getfd(connection.stream.get()));
    WriteRequest(connection);
  } else if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    OnConnectionClosed(connection);
  }
}

// Handles the end of a connection. A request that was sent while the idle connection was being closed is sent
// once more, on a new connection.
void LoadClient::OnConnectionClosed(Connection& connection) {
  const bool was_idle = connection.was_used && !connection.response.started();
  const bool was_connected = connection.is_connected;
  connection.stream.reset();
  if (connection.request_id.empty()) {
    ++record_->idle_ends;
    return;
  }
  if (was_idle && !connection.is_retry) {
    connection.is_retry = true;
    connection.deadline.Stop();
    connection.disconnect_timer.Stop();
    SendNext(connection);
    return;
  }
  Finish(connection, was_connected ? ClientResult::kNoResponse : ClientResult::kNotAccepted);
}

void LoadClient::Finish(Connection& connection, ClientResult result) {
  if (result == ClientResult::kDisconnected) {
    // The stream itself closes the connection in the loop's next iteration.
    loop::Shutdown(connection.stream.get());
  }
  ClientRequest& request = record_->requests[connection.request_id];
  request.result = result;
  request.finished_at = core::Now();
  request.responses +=
      result == ClientResult::kServed || result == ClientResult::kRejected || result == ClientResult::kFailed
          ? 1
          : 0;
  connection.request_id.clear();
  connection.deadline.Stop();
  connection.disconnect_timer.Stop();
  if (result == ClientResult::kDisconnected || result == ClientResult::kNoResponse ||
      result == ClientResult::kNotAccepted) {
    connection.stream.reset();
  }
  if (result == ClientResult::kNotAccepted) {
    connection.next_request.Start(kReconnectDelay);
  } else {
    ThinkThenSend(connection);
  }
}

}  // namespace walnutspur::lab::soak
