#include "nbd/target_pool.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/attempt_deadline.h"
#include "core/scheduler_thread.h"
#include "loop/address.h"
#include "nbd/payload.h"

namespace walnutspur::nbd {

// No NBD reply proves that a write was not executed, not even the reply of a server that shuts down. A read
// has no effect, so its error can be mapped to "overloaded".
Outcome OutcomeOf(Error error, std::uint16_t command) {
  if (error == kOk) {
    return Outcome::kCompleted;
  }
  if (command == kRead && (error == kShutdown || error == kNoMemory)) {
    return Outcome::kOverloaded;
  }
  return Outcome::kErrored;
}

TargetPool::TargetPool(event_base* base, const Config& config, std::size_t max_connections,
                       core::SubmitInput submit)
    : base_(base), config_(config), max_connections_(max_connections), submit_(std::move(submit)) {}

// ---- connections ----

// Returns the connection with the fewest attempts among those that accept attempts; null if there is none.
TargetConnection* TargetPool::FindConnection(const TargetExport& target_export) {
  TargetConnection* best = nullptr;
  for (const auto& [number, connection] : connections_) {
    if (connection->target_export() != target_export || !connection->AcceptsAttempts()) {
      continue;
    }
    if (best == nullptr || connection->load() < best->load()) {
      best = connection.get();
    }
  }
  return best;
}

TargetConnection* TargetPool::OpenConnection(const TargetExport& target_export) {
  const auto target =
      std::find_if(config_.targets.begin(), config_.targets.end(),
                   [&](const Target& configured) { return configured.id == target_export.target; });
  if (target == config_.targets.end() || connections_.size() >= max_connections_) {
    return nullptr;
  }
  TargetConnectionOwner* self = this;  // a private base, which make_unique cannot convert to
  auto opened = std::make_unique<TargetConnection>(next_connection_++, target_export, config_, self);
  if (!opened->Open(base_)) {
    return nullptr;
  }
  const std::string& address = target->addresses[static_cast<std::size_t>(target_export.path)];
  const sockaddr_in socket = loop::ToSocket(loop::ParseAddress(address));
  TargetConnection* connection = opened.get();
  connections_[connection->number()] = std::move(opened);
  if (!connection->Connect(socket)) {
    connections_.erase(connection->number());
    return nullptr;
  }
  return connection;
}

std::optional<std::uint16_t> TargetPool::flags(const TargetId& target, const std::string& remote) const {
  for (const auto& [number, connection] : connections_) {
    const TargetExport& place = connection->target_export();
    if (place.target == target && place.remote == remote && connection->session().ready()) {
      return connection->session().flags();
    }
  }
  return std::nullopt;
}

// Attempts whose commands were not written completely have not been executed; the others may have been.
void TargetPool::OnEnd(TargetConnection& connection) {
  const auto at = connections_.find(connection.number());
  if (at == connections_.end()) {
    return;
  }
  const std::unique_ptr<TargetConnection> ended = std::move(at->second);
  connections_.erase(at);
  for (const loop::AttemptKey& key : ended->waiting()) {
    Report(key, Outcome::kConnectFailed);
  }
  for (const auto& [cookie, key] : ended->in_flight()) {
    Report(key, ended->IsWritten(cookie) ? Outcome::kConnectionReset : Outcome::kConnectFailed);
  }
}

// Cancels the commands that have not been written completely. A part of such a command may already have been
// sent, so its connection is closed. Connections without attempts in flight are closed too.
void TargetPool::Drain(const TargetId& target) {
  std::vector<TargetConnection*> closed;
  for (const auto& [number, connection] : connections_) {
    if (connection->target_export().target != target) {
      continue;
    }
    connection->Retire();
    if (connection->HasUnwrittenAttempts() || connection->in_flight().empty()) {
      closed.push_back(connection.get());
    }
  }
  for (TargetConnection* connection : closed) {
    OnEnd(*connection);
  }
}

// ---- attempts ----

void TargetPool::Start(const core::StartAttempt& attempt) {
  const loop::AttemptKey key{attempt.request, attempt.attempt};
  const Time now = core::Now();
  const Time expires_at = core::ExpiresAt(attempt, now);
  PendingAttempt& pending = pending_[key];
  pending.attempt = attempt;
  pending.started_at = now;
  if (expires_at <= now || core::IsPast(attempt.not_after, now)) {
    Report(key, Outcome::kNotSent);
    return;
  }
  const auto& command = static_cast<const CommandPayload&>(*attempt.payload);
  const TargetExport target_export{attempt.target, command.remote, command.path};
  TargetConnection* connection = FindConnection(target_export);
  if (connection == nullptr) {
    connection = OpenConnection(target_export);
  }
  if (connection == nullptr) {
    Report(key, Outcome::kConnectFailed);
    return;
  }
  pending.connection = connection;
  pending.expires_at = expires_at;
  pending.timeout = loop::MakeTimer(base_, [this, key] { OnTimeout(key); });
  const Time must_be_written_at = attempt.not_after > 0 ? attempt.not_after : expires_at;
  pending.timeout.Start(std::min(must_be_written_at, expires_at) - now);
  connection->StopIdleTimer();
  if (connection->session().ready()) {
    OnReady(*connection, key);
  } else {
    connection->AddWaiting(key);
  }
}

void TargetPool::OnReady(TargetConnection& connection, const loop::AttemptKey& key) {
  PendingAttempt& pending = pending_.at(key);
  if (core::IsPast(pending.attempt.not_after, core::Now())) {  // the handshake took too long
    Report(key, Outcome::kNotSent);
    return;
  }
  pending.cookie = next_cookie_++;
  connection.Send(key, pending.cookie,
                  std::static_pointer_cast<const CommandPayload>(pending.attempt.payload));
}

void TargetPool::OnReply(const loop::AttemptKey& key, Reply reply) {
  const auto& command = static_cast<const CommandPayload&>(*pending_.at(key).attempt.payload);
  const Outcome outcome = OutcomeOf(reply.error, command.request.type);
  core::PayloadRef payload;
  if (reply.error == kOk) {
    auto data = std::make_shared<ReplyPayload>();
    data->pieces = std::move(reply.pieces);
    payload = std::move(data);
  }
  Report(key, outcome, std::move(payload));
}

// A command may wait in its connection's buffer while the target does not read. If it is not written by
// StartAttempt::not_after, it must not be written later.
void TargetPool::OnTimeout(const loop::AttemptKey& key) {
  PendingAttempt& pending = pending_.at(key);
  const Time now = core::Now();
  if (now < pending.expires_at && pending.connection->IsWritten(pending.cookie)) {
    pending.timeout.Start(pending.expires_at - now);
    return;
  }
  Abandon(key, Outcome::kTimedOut);
}

void TargetPool::Cancel(core::RequestNumber request, int attempt) {
  Abandon({request, attempt}, Outcome::kCancelled);
}

// NBD has no means to cancel a command: if it is written, the attempt ends, and a later reply of the target
// is ignored. A command that is not written completely is reported as never executed, so the target must not
// get the rest of it, however late it reads.
void TargetPool::Abandon(const loop::AttemptKey& key, Outcome outcome) {
  const auto at = pending_.find(key);
  if (at == pending_.end()) {
    return;
  }
  TargetConnection& connection = *at->second.connection;
  const std::uint64_t cookie = at->second.cookie;
  const bool written = connection.IsWritten(cookie);
  const bool is_usable = connection.Abandon(key, cookie);
  Report(key, written || outcome == Outcome::kCancelled ? outcome : Outcome::kConnectFailed);
  if (is_usable) {
    connection.StartIdleTimer();
  } else {
    OnEnd(connection);
  }
}

void TargetPool::Report(const loop::AttemptKey& key, Outcome outcome, core::PayloadRef payload) {
  const auto at = pending_.find(key);
  core::AttemptResult result;
  result.request = key.request;
  result.attempt = key.attempt;
  result.outcome = outcome;
  result.latency = core::Now() - at->second.started_at;
  result.payload = std::move(payload);
  pending_.erase(at);
  submit_(std::move(result));
}

}  // namespace walnutspur::nbd
