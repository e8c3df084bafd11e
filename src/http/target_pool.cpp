#include "http/target_pool.h"

#include <utility>
#include <vector>

#include "core/attempt_deadline.h"
#include "core/scheduler_thread.h"
#include "frontend/memory_log.h"
#include "http/response_text.h"
#include "log/event_kinds.h"
#include "log/log.h"

namespace walnutspur::http {
namespace {

using State = TargetConnection::State;

constexpr Time kHealthCheckTimeout = 250'000;  // us

// The request number of health checks in attempts' keys.
constexpr core::RequestNumber kHealthCheckRequest = 0;

// Response bodies larger than the protocol's maximum may together use the process's memory limit divided by
// this number.
constexpr std::size_t kLargeResponseMemoryDivisor = 8;

// Maximum size of a response that is read completely because digests are on.
constexpr std::size_t kMaxCheckedBodyBytes = 1 << 20;

// Request bodies up to this size are copied into the text of the attempt.
constexpr std::size_t kMaxCopiedBodyBytes = 16 << 10;

// Memory of each response that needs no reservation, bytes: usual responses fit into it.
constexpr std::size_t kUnreservedBytes = 4 << 10;

// Memory of a response that is passed on while it arrives: in the stream, and unwritten at the client.
constexpr std::size_t kStreamBytes = 4 * kMaxStreamBytes;

// Time after which responses that wait for memory are tried again, us.
constexpr Time kMemoryRetryInterval = 5'000;

// Time in which the scheduler must pass on a streamed response, us. Without it the stream has no receiver.
constexpr Time kReceiverTimeout = 2'000'000;

// Time without a byte from the target after which a streamed response counts as broken, us.
constexpr Time kStreamSilenceTimeout = 30'000'000;

// Formats the text before and after the deadline into `attempt`. A null `request` means a health check.
void FormatRequest(const std::shared_ptr<const Request>& request, const std::string& host, Attempt* attempt) {
  if (!request) {
    attempt->request_head = "GET /-/healthy HTTP/1.1\r\n" + HeaderLine("Host", host);
    attempt->request_rest = "\r\n";
    return;
  }
  std::string& head = attempt->request_head;
  head = (request->is_put ? "PUT " : "GET ") + request->uri + " HTTP/1.1\r\n";
  head += HeaderLine("Host", host);
  head += HeaderLine("X-Request-Id", request->id);
  std::string& rest = attempt->request_rest;
  rest = request->headers;
  if (request->is_put) {
    rest += HeaderLine("Content-Length", std::to_string(request->body.size()));
  }
  rest += "\r\n";
  if (request->body.size() <= kMaxCopiedBodyBytes) {
    rest += request->body;
  } else {
    attempt->large_request = request;
  }
}

// Returns whether a time limit of the attempt has passed, so that its response could no longer be used or the
// target could run it twice.
bool IsExpired(const Attempt& attempt) {
  const Time now = core::Now();
  return core::IsPast(attempt.not_after, now) || core::IsPast(attempt.expires_at, now);
}

}  // namespace

TargetPool::TargetPool(event_base* base, const Config& config, core::MemoryAccount* memory,
                       core::SubmitInput submit)
    : config_(config),
      submit_(std::move(submit)),
      memory_(memory),
      max_large_response_bytes_(config.memory_bytes() / kLargeResponseMemoryDivisor),
      pool_(base, config, this),
      memory_timer_(loop::MakeTimer(base, [this] { RetryWaiting(); })) {}

TargetPool::~TargetPool() = default;

void TargetPool::Start(const core::StartAttempt& attempt) {
  Attempt launched;
  launched.key = {attempt.request, attempt.attempt};
  launched.not_after = attempt.not_after;
  launched.expires_at = core::ExpiresAt(attempt, core::Now());
  Launch(std::move(launched), attempt.target, std::static_pointer_cast<const Request>(attempt.payload));
}

void TargetPool::CheckHealth(const TargetId& target) {
  Attempt check;
  check.key = {kHealthCheckRequest, static_cast<int>(++health_checks_)};
  check.expires_at = core::Now() + kHealthCheckTimeout;
  Launch(std::move(check), target, nullptr);
}

void TargetPool::Launch(Attempt attempt, const TargetId& target,
                        const std::shared_ptr<const Request>& request) {
  if (IsExpired(attempt)) {
    ReportNotSent(attempt.key, target, Outcome::kNotSent);
    return;
  }
  TargetConnection* connection = pool_.TakeIdle(target);
  if (!connection) {
    connection = pool_.Open(target);
  }
  if (!connection) {  // no address or no descriptor available
    ReportNotSent(attempt.key, target, Outcome::kConnectFailed);
    return;
  }
  attempt.is_read = request != nullptr && !request->is_put;
  if (request) {
    attempt.wanted_digest = request->wanted_digest;
  }
  if (attempt.is_read && config_.digests.on) {
    attempt.uri = request->uri;
  }
  attempt.sent_at = core::Now();
  const Time timeout = attempt.expires_at - attempt.sent_at;
  FormatRequest(request, pool_.AddressOf(target), &attempt);
  attempts_[attempt.key] = connection;
  connection->SetMemory({memory_, limits::MemoryOwner::kHttpResponses});
  connection->Assign(std::move(attempt));
  connection->StartAttemptTimeout(timeout);
  if (connection->state() == State::kConnecting) {
    connection->StartConnectTimeout(config_.connect_timeout);
  } else if (!connection->StartSettling()) {
    SendOrAbort(*connection);
  }
}

// Writes the request, or aborts the attempt. The request is written only once the connection is established
// and settled, because an attempt must not reach the target if it was abandoned in the meantime or if the
// target would no longer deduplicate a retry.
void TargetPool::SendOrAbort(TargetConnection& connection) {
  const Attempt& attempt = *connection.attempt();
  const core::RequestNumber request = attempt.key.request;
  if (IsExpired(attempt) || (request != kHealthCheckRequest && !is_client_connected(request))) {
    ReportOutcome(connection, Outcome::kNotSent);
    pool_.Return(connection);
    return;
  }
  if (connection.state() == State::kSettling && connection.HasPendingInput()) {
    MoveToNewConnection(connection);
    return;
  }
  connection.SendRequest();
}

// Moves an attempt that is not sent yet to a new connection, because input or an end of stream on the old
// connection makes it unusable.
void TargetPool::MoveToNewConnection(TargetConnection& from) {
  TargetConnection* connection = pool_.Open(from.target());
  if (!connection) {
    Fail(from, Outcome::kConnectFailed);
    return;
  }
  connection->SetMemory({memory_, limits::MemoryOwner::kHttpResponses});
  connection->Assign(from.MoveAttemptOut());
  const Attempt& attempt = *connection->attempt();
  attempts_[attempt.key] = connection;
  pool_.Discard(from);
  connection->StartConnectTimeout(config_.connect_timeout);
  connection->StartAttemptTimeout(attempt.expires_at - core::Now());
}

void TargetPool::OnConnected(TargetConnection& connection) {
  connection.StopConnectTimeout();
  if (connection.state() == State::kSpare) {
    pool_.OnSpareConnected(connection);
    return;
  }
  SendOrAbort(connection);
}

void TargetPool::OnSettled(TargetConnection& connection) { SendOrAbort(connection); }

// Also called when a streamed response has stalled, which breaks it.
void TargetPool::OnIdleTimeout(TargetConnection& connection) { pool_.Discard(connection); }

void TargetPool::OnHoldTimeout(TargetConnection& connection) {
  if (connection.attempt() && ShouldStream(connection)) {
    TryBeginStream(connection);
  }
}

void TargetPool::OnConnectTimeout(TargetConnection& connection) {
  Abandon(connection, Outcome::kConnectFailed);
}

void TargetPool::OnAttemptTimeout(TargetConnection& connection) { Abandon(connection, Outcome::kTimedOut); }

void TargetPool::OnClosed(TargetConnection& connection, bool is_error) {
  if (connection.state() == State::kStreaming) {
    while (connection.ParseNextChunk()) {
    }
    if (!is_error) {
      connection.response().End();
    }
    PassOnBody(connection);
    pool_.Discard(connection);
    return;
  }
  if (!connection.attempt()) {
    pool_.Discard(connection);
    return;
  }
  if (connection.state() == State::kSettling) {
    MoveToNewConnection(connection);
    return;
  }
  // Only a FIN ends a response without a length; all bytes before it have been read.
  if (!is_error) {
    connection.response().End();
  }
  if (connection.response().complete() && connection.IsRequestSent()) {
    OnResponse(connection);
    return;
  }
  Fail(connection, Outcome::kConnectionReset);
}

void TargetPool::OnReadable(TargetConnection& connection) {
  if (!connection.HasSurplusInput()) {
    return;  // reading was resumed, and nothing has arrived
  }
  if (connection.state() == State::kStreaming) {
    connection.StartIdleTimeout(kStreamSilenceTimeout);
    PassOnBody(connection);
    return;
  }
  if (!connection.attempt()) {  // the input would be taken for the response to the next request
    pool_.Discard(connection);
    return;
  }
  if (connection.state() == State::kSettling) {
    MoveToNewConnection(connection);
    return;
  }
  ReadResponse(connection);
}

void TargetPool::ReadResponse(TargetConnection& connection) {
  const MessageReader& response = connection.response();
  const auto keep_reading = [&] {
    const std::size_t size = response.declared_body_bytes();
    const bool is_checked = config_.digests.on && size <= kMaxCheckedBodyBytes && HasMemoryForResponses();
    return size <= kProtocolBodyBytes || is_checked;
  };
  const TargetConnection::ParseResult result = connection.ParseInput(keep_reading);
  if (result == TargetConnection::ParseResult::kIncomplete) {
    if (response.head_complete() && !response.declared_length() && ShouldStream(connection)) {
      connection.HoldBody();
    }
    ReserveMemory(connection);
    return;
  }
  // A response that arrives before its request is completely sent belongs to another request. After a
  // malformed response the request may have run, and the start of the next response is unknown.
  const bool stopped = result == TargetConnection::ParseResult::kStopped;
  if (stopped && ShouldStream(connection)) {
    TryBeginStream(connection);
    return;
  }
  // The outcome of an unsuccessful response does not depend on its body, which is not read.
  if (stopped && response.head_complete() && response.code() != kStatusOk && connection.IsRequestSent()) {
    OnResponse(connection);
    return;
  }
  if (stopped || response.malformed() || !connection.IsRequestSent()) {
    Fail(connection, Outcome::kConnectionReset);
    return;
  }
  OnResponse(connection);
}

// A response that does not get memory is left in the kernel, at most until its attempt times out. Usual ones
// need no reservation.
void TargetPool::ReserveMemory(TargetConnection& connection) {
  const std::size_t held = connection.response().held_bytes();
  const std::size_t bytes = held > kUnreservedBytes ? held - kUnreservedBytes : 0;
  if (connection.response_memory().Resize(bytes)) {
    return;
  }
  WaitForMemory(connection, false);
}

void TargetPool::WaitForMemory(TargetConnection& connection, bool wants_stream) {
  frontend::LogMemoryLimit(*memory_, limits::MemoryOwner::kHttpResponses, "response_waits",
                           connection.number());
  connection.PauseReading();
  waiting_[connection.attempt()->key] = wants_stream;
  memory_timer_.Start(kMemoryRetryInterval);
}

void TargetPool::RetryWaiting() {
  for (const auto& [key, wants_stream] : std::exchange(waiting_, {})) {
    const auto at = attempts_.find(key);
    if (at == attempts_.end()) {
      continue;
    }
    TargetConnection& connection = *at->second;
    connection.ResumeReading();
    if (wants_stream) {
      TryBeginStream(connection);
    } else {
      ReserveMemory(connection);
    }
  }
}

// Returns whether the response bodies larger than the protocol's maximum fit into memory; all targets may
// send such responses at the same time.
bool TargetPool::HasMemoryForResponses() const {
  std::size_t bytes = 0;
  for (const auto& [key, connection] : attempts_) {
    const std::size_t declared = connection->response().declared_body_bytes();
    if (declared > kProtocolBodyBytes) {
      bytes += declared;
    }
  }
  return bytes <= max_large_response_bytes_;
}

void TargetPool::OnResponse(TargetConnection& connection) {
  const MessageReader& message = connection.response();
  const HeaderLookup header = [&message](const char* name) { return message.Find(name); };
  core::AttemptResult result;
  result.outcome = OutcomeOf(message.code(), header);
  ReadLoadHeaders(config_.settings.load_report_fields, header, &result);
  if (result.outcome == Outcome::kCompleted) {
    result.payload = TakeResponse(connection);
    if (!result.payload) {
      OnCorruptedResponse(connection);
      return;
    }
  }
  // Bytes after a response belong to no request.
  const bool is_reusable = message.complete() && message.keeps_alive() && !connection.HasSurplusInput();
  Report(connection, std::move(result));
  connection.MarkResponseReceived();
  if (is_reusable) {
    pool_.Return(connection);
  } else {
    pool_.Discard(connection);
  }
}

// Returns whether a response that was not read completely is successful, so that what follows can be passed
// on.
bool TargetPool::ShouldStream(const TargetConnection& connection) const {
  const MessageReader& response = connection.response();
  const bool is_health_check = connection.attempt()->key.request == kHealthCheckRequest;
  return !config_.digests.on && !is_health_check && !response.malformed() && response.code() == kStatusOk &&
         connection.IsRequestSent();
}

// Streams leave memory to responses that are read completely.
void TargetPool::TryBeginStream(TargetConnection& connection) {
  if (connection.response_memory().Resize(kStreamBytes, limits::MemoryPriority::kLow)) {
    BeginStream(connection);
  } else {
    WaitForMemory(connection, true);
  }
}

// Completes the attempt with the first bytes of its response, and passes on what follows while it arrives.
void TargetPool::BeginStream(TargetConnection& connection) {
  const MessageReader& message = connection.response();
  const HeaderLookup header = [&message](const char* name) { return message.Find(name); };
  core::AttemptResult result;
  result.outcome = Outcome::kCompleted;
  ReadLoadHeaders(config_.settings.load_report_fields, header, &result);
  const auto body = std::make_shared<BodyStream>(message.declared_length());
  body->memory = connection.TakeResponseMemory();
  body->SetSender([this, &connection] { ResumeStream(connection); },
                  [this, &connection] { pool_.Discard(connection); });
  connection.StartStreaming(body);
  connection.StartIdleTimeout(kReceiverTimeout);
  auto response = std::make_shared<Response>();
  response->stream = body;
  result.payload = std::move(response);
  Report(connection, std::move(result));
  PassOnBody(connection);
}

// Passes on what has arrived of a streamed body until the stream is full or the body is complete.
void TargetPool::PassOnBody(TargetConnection& connection) {
  const std::shared_ptr<BodyStream> body = connection.body();
  while (true) {
    body->Append(connection.response().TakeBody());
    if (connection.body() == nullptr) {
      return;  // the receiver has gone
    }
    if (connection.response().complete()) {
      FinishStream(connection);
      return;
    }
    if (connection.response().malformed()) {
      pool_.Discard(connection);
      return;
    }
    if (body->is_full()) {
      connection.PauseReading();
      if (body->has_receiver()) {
        connection.StopIdleTimeout();  // the receiver has a timeout of its own
      }
      return;
    }
    if (!connection.ParseNextChunk()) {
      return;
    }
  }
}

void TargetPool::ResumeStream(TargetConnection& connection) {
  connection.StartIdleTimeout(kStreamSilenceTimeout);
  connection.ResumeReading();
}

void TargetPool::FinishStream(TargetConnection& connection) {
  connection.body()->Finish();
  connection.EndStreaming();
  connection.StopIdleTimeout();
  connection.MarkResponseReceived();
  if (connection.response().keeps_alive() && !connection.HasSurplusInput()) {
    connection.EnableReading();
    pool_.Return(connection);
  } else {
    pool_.Discard(connection);
  }
}

// Verifies the digests of a response and takes its body. Returns null if the content is corrupted.
std::shared_ptr<const Response> TargetPool::TakeResponse(TargetConnection& connection) const {
  MessageReader& message = connection.response();
  auto response = std::make_shared<Response>();
  response->body = std::move(message.body());
  response->memory = connection.TakeResponseMemory();
  if (!config_.digests.on) {
    return response;
  }
  const Attempt& attempt = *connection.attempt();
  DigestCheck check = CheckDigests(message, response->body, attempt.is_read);
  if (check.match != integrity::Match::kNone && attempt.is_read && on_digest_checked) {
    on_digest_checked(connection.target(), attempt.uri, check.match == integrity::Match::kGood,
                      response->body);
  }
  if (check.match == integrity::Match::kDifferent) {
    return nullptr;
  }
  response->headers = std::move(check.headers);
  if (response->headers.empty() && attempt.wanted_digest) {
    response->headers =
        HeaderLine("Content-Digest", integrity::DigestField(*attempt.wanted_digest, response->body));
  }
  return response;
}

// Handles a response that was corrupted on the way from the target, which has run the request. No byte of the
// response is forwarded, and the connection is not reused because it may be the cause.
void TargetPool::OnCorruptedResponse(TargetConnection& connection) {
  log::Event(
      log::Level::kWarn, log::kResponseCorrupted,
      {{"request", std::to_string(connection.attempt()->key.request)}, {"target", connection.target()}});
  ReportOutcome(connection, Outcome::kCorrupted);
  pool_.Discard(connection);
}

// Ends an attempt that has timed out or was cancelled. A connection that is still being established is kept
// as a spare, one per target, so that the next attempt need not open another.
void TargetPool::Abandon(TargetConnection& connection, Outcome outcome) {
  const State state = connection.state();
  if (state == State::kSpare) {  // its connect timeout has expired
    pool_.Discard(connection);
    return;
  }
  const bool can_be_spare = state == State::kConnecting && !pool_.HasSpare(connection.target());
  if (state != State::kSettling && !can_be_spare) {
    Fail(connection, outcome);
    return;
  }
  ReportOutcome(connection, outcome == Outcome::kCancelled ? outcome : Outcome::kConnectFailed);
  if (state == State::kSettling) {
    pool_.Return(connection);
  } else {
    pool_.KeepSpare(connection);
  }
}

// Ends an attempt without a response and closes its connection. A request that was not completely sent has
// not run, whatever the cause of the failure.
void TargetPool::Fail(TargetConnection& connection, Outcome outcome) {
  if (!connection.attempt()) {
    return;
  }
  const bool may_have_run = connection.IsRequestSent();
  if (outcome != Outcome::kCancelled && !may_have_run) {
    outcome = Outcome::kConnectFailed;
  }
  ReportOutcome(connection, outcome);
  pool_.Discard(connection);
}

void TargetPool::ReportNotSent(const loop::AttemptKey& key, const TargetId& target, Outcome outcome) {
  if (key.request == kHealthCheckRequest) {
    submit_(core::HealthCheckResult{{target, outcome, 0, {}}});
    return;
  }
  core::AttemptResult result;
  result.request = key.request;
  result.attempt = key.attempt;
  result.outcome = outcome;
  submit_(std::move(result));
}

void TargetPool::ReportOutcome(TargetConnection& connection, Outcome outcome) {
  core::AttemptResult result;
  result.outcome = outcome;
  Report(connection, std::move(result));
}

void TargetPool::Report(TargetConnection& connection, core::AttemptResult result) {
  const Attempt attempt = connection.ReleaseAttempt();
  attempts_.erase(attempt.key);
  result.request = attempt.key.request;
  result.attempt = attempt.key.attempt;
  result.latency = core::Now() - attempt.sent_at;
  if (attempt.key.request != kHealthCheckRequest) {
    submit_(std::move(result));
    return;
  }
  submit_(core::HealthCheckResult{
      {connection.target(), result.outcome, result.latency, std::move(result.load_report)}});
}

void TargetPool::Cancel(core::RequestNumber request, int attempt) {
  const auto at = attempts_.find({request, attempt});
  if (at != attempts_.end()) {
    Abandon(*at->second, Outcome::kCancelled);
  }
}

// Fails attempts that are not sent yet: they would reach the target after it has started to drain.
void TargetPool::Drain(const TargetId& target) {
  std::vector<TargetConnection*> unsent;
  for (const auto& [key, connection] : attempts_) {
    if (connection->target() == target && !connection->IsRequestSent()) {
      unsent.push_back(connection);
    }
  }
  for (TargetConnection* connection : unsent) {
    Fail(*connection, Outcome::kConnectFailed);
  }
  pool_.CloseIdle(target);
}

}  // namespace walnutspur::http
