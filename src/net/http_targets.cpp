#include "net/http_targets.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>

#include <algorithm>

#include "core/owner.h"

namespace walnutspur::net {
namespace {

constexpr std::size_t kMostBody = 64 * 1024;
constexpr std::size_t kMostHeaders = 16 * 1024;
constexpr double kTargetPart = 0.4;   // of the descriptors
constexpr double kIdlePart = 0.8;     // of the time after which targets close idle connections
constexpr Time kProbeWait = 250'000;  // us

}  // namespace

HttpTargets::HttpTargets(event_base* base, const Config& config, core::Post post)
    : base_(base),
      config_(config),
      post_(std::move(post)),
      most_(static_cast<std::size_t>(config.sockets * kTargetPart)),
      sweep_(MakeTimer(base, [this] { discarded_.clear(); })) {}

HttpTargets::~HttpTargets() {
  for (auto& [number, connection] : connections_)
    evhttp_connection_set_closecb(connection->link.get(), nullptr, nullptr);
}

void HttpTargets::Learn(const TargetId& target, const std::string& address) {
  std::string& known = addresses_[target];
  if (known == address) return;
  known = address;
  const auto idle = std::exchange(idle_[target], {});
  for (Connection* connection : idle) Discard(*connection);
}

void HttpTargets::Start(const core::Attempt& attempt) {
  Launch({attempt.serial, attempt.trial}, attempt.target, attempt.limit,
         static_cast<const HttpRequest*>(attempt.payload.get()));
}

void HttpTargets::Probe(const TargetId& target) {
  Launch({0, static_cast<int>(++probes_)}, target, kProbeWait, nullptr);
}

HttpTargets::Connection* HttpTargets::TakeIdle(const TargetId& target) {
  auto& idle = idle_[target];
  if (idle.empty()) return nullptr;
  Connection* connection = idle.back();
  idle.pop_back();
  connection->idle.Stop();
  return connection;
}

// Descriptors are bounded: an idle connection to another target makes room for a new one.
bool HttpTargets::MakeRoom() {
  if (connections_.size() < most_) return true;
  for (auto& [target, idle] : idle_) {
    if (idle.empty()) continue;
    Connection* oldest = idle.front();
    idle.erase(idle.begin());
    Discard(*oldest);
    return true;
  }
  return false;
}

HttpTargets::Connection* HttpTargets::Open(const TargetId& target) {
  const auto known = addresses_.find(target);
  if (known == addresses_.end() || known->second.empty() || !MakeRoom()) return nullptr;
  auto connection = std::make_unique<Connection>();
  Connection* c = connection.get();
  c->owner = this;
  c->number = next_++;
  c->target = target;
  const Address address = ParseAddress(known->second);
  c->link.reset(
      evhttp_connection_base_bufferevent_new(base_, nullptr, nullptr, address.host.c_str(), address.port));
  if (!c->link) return nullptr;
  evhttp_connection_set_retries(c->link.get(), 0);  // it must never send a request twice by itself
  evhttp_connection_set_max_body_size(c->link.get(), kMostBody);
  evhttp_connection_set_max_headers_size(c->link.get(), kMostHeaders);
  evhttp_connection_set_closecb(
      c->link.get(),
      [](evhttp_connection*, void* arg) {
        auto* self = static_cast<Connection*>(arg);
        self->closed = true;  // what is drained from the output from here on was not written
        if (self->attempt) return;
        std::erase(self->owner->idle_[self->target], self);
        self->owner->Discard(*self);
      },
      c);
  evbuffer_add_cb(
      bufferevent_get_output(evhttp_connection_get_bufferevent(c->link.get())),
      [](evbuffer* buffer, const evbuffer_cb_info* info, void* arg) {
        auto* self = static_cast<Connection*>(arg);
        self->owner->OnOutput(*self, *info, evbuffer_get_length(buffer));
      },
      c);
  const std::uint64_t number = c->number;
  c->connect = MakeTimer(base_, [this, number] {
    const auto at = connections_.find(number);
    if (at != connections_.end()) Break(*at->second, Outcome::kRefusedConn);
  });
  c->limit = MakeTimer(base_, [this, number] {
    const auto at = connections_.find(number);
    if (at != connections_.end()) Break(*at->second, Outcome::kOverdue);
  });
  c->idle = MakeTimer(base_, [this, number] {
    const auto at = connections_.find(number);
    if (at == connections_.end()) return;
    std::erase(idle_[at->second->target], at->second.get());
    Discard(*at->second);
  });
  connections_[number] = std::move(connection);
  return c;
}

void HttpTargets::Launch(const Key& key, const TargetId& target, Time limit, const HttpRequest* request) {
  Connection* c = TakeIdle(target);
  const bool fresh = !c;
  if (fresh) c = Open(target);
  if (!c) {  // no address or no descriptor: never sent
    core::Ended ended;
    ended.serial = key.first;
    ended.trial = key.second;
    ended.outcome = Outcome::kRefusedConn;
    if (key.first != 0) return post_(std::move(ended));
    return post_(core::Probed{{target, ended.outcome, 0, {}}});
  }
  c->attempt = key;
  c->sent = core::Now();
  c->written = false;
  attempts_[key] = c;
  // Neither ever outlives its connection: evhttp calls back at most once and not after it is freed.
  evhttp_request* out = evhttp_request_new(
      [](evhttp_request* answer, void* arg) {
        auto* self = static_cast<Connection*>(arg);
        self->owner->OnAnswer(*self, answer);
      },
      c);
  auto* headers = evhttp_request_get_output_headers(out);
  evhttp_add_header(headers, "Host", addresses_[target].c_str());
  if (request) {
    evhttp_add_header(headers, "X-Request-Id", request->id.c_str());
    evhttp_add_header(headers, "X-Deadline", Seconds(limit).c_str());
    if (!request->body.empty())
      evbuffer_add(evhttp_request_get_output_buffer(out), request->body.data(), request->body.size());
  }
  if (fresh) c->connect.Start(config_.dial);
  c->limit.Start(limit);
  const auto method = request && request->put ? EVHTTP_REQ_PUT : EVHTTP_REQ_GET;
  const char* uri = request ? request->uri.c_str() : "/-/healthy";
  if (evhttp_make_request(c->link.get(), out, method, uri) != 0) Break(*c, Outcome::kRefusedConn);
}

// evhttp tells neither that a connection has come up nor that a request has left; its output buffer does: it
// is filled once the connection is up and empty once the last byte is written.
void HttpTargets::OnOutput(Connection& c, const evbuffer_cb_info& info, std::size_t left) {
  if (c.closed || !c.attempt) return;
  if (info.n_added > 0 && !c.connected) {
    c.connected = true;
    c.connect.Stop();
  }
  if (info.n_deleted > 0 && left == 0) c.written = true;
}

void HttpTargets::OnAnswer(Connection& c, evhttp_request* answer) {
  if (!c.attempt) return;
  const int code = answer ? evhttp_request_get_response_code(answer) : 0;
  if (code == 0) return Break(c, Outcome::kSevered);
  auto* headers = evhttp_request_get_input_headers(answer);
  const Header header = [headers](const char* name) { return evhttp_find_header(headers, name); };
  core::Ended ended;
  ended.outcome = OutcomeOf(code, header);
  ReadTold(config_.settings.report_fields, header, &ended);
  if (ended.outcome == Outcome::kCompleted) {
    auto payload = std::make_shared<HttpAnswer>();
    evbuffer* body = evhttp_request_get_input_buffer(answer);
    payload->body.resize(evbuffer_get_length(body));
    evbuffer_remove(body, payload->body.data(), payload->body.size());
    ended.payload = std::move(payload);
  }
  Report(c, std::move(ended));
  if (c.closed) {
    Discard(c);
  } else {
    KeepIdle(c);
  }
}

// The attempt ends without an answer. What never left whole never ran, whatever ended it.
void HttpTargets::Break(Connection& c, Outcome outcome) {
  if (!c.attempt) return;
  core::Ended ended;
  ended.outcome = c.written || outcome == Outcome::kRecalled ? outcome : Outcome::kRefusedConn;
  Report(c, std::move(ended));
  Discard(c);
}

void HttpTargets::Report(Connection& c, core::Ended ended) {
  const Key key = *c.attempt;
  c.attempt.reset();
  c.connect.Stop();
  c.limit.Stop();
  attempts_.erase(key);
  ended.serial = key.first;
  ended.trial = key.second;
  ended.delay = core::Now() - c.sent;
  if (key.first != 0) return post_(std::move(ended));
  post_(core::Probed{{c.target, ended.outcome, ended.delay, std::move(ended.report)}});
}

void HttpTargets::KeepIdle(Connection& c) {
  idle_[c.target].push_back(&c);
  c.idle.Start(static_cast<Time>(kIdlePart * static_cast<double>(config_.idle)));
}

// Closes a connection, but not inside of a callback of its own.
void HttpTargets::Discard(Connection& c) {
  const auto at = connections_.find(c.number);
  if (at == connections_.end()) return;
  c.connect.Stop();
  c.limit.Stop();
  c.idle.Stop();
  evhttp_connection_set_closecb(c.link.get(), nullptr, nullptr);
  discarded_.push_back(std::move(at->second));
  connections_.erase(at);
  sweep_.Start(0);
}

void HttpTargets::Stop(core::Serial serial, int trial) {
  const auto at = attempts_.find({serial, trial});
  if (at != attempts_.end()) Break(*at->second, Outcome::kRecalled);
}

// Guards the rule on drains: an attempt whose connection is still coming up would reach the target later.
void HttpTargets::Withdraw(const TargetId& target) {
  std::vector<Connection*> unsent;
  for (const auto& [key, connection] : attempts_) {
    if (connection->target == target && !connection->written) unsent.push_back(connection);
  }
  for (Connection* connection : unsent) Break(*connection, Outcome::kRefusedConn);
  const auto idle = std::exchange(idle_[target], {});
  for (Connection* connection : idle) Discard(*connection);
}

}  // namespace walnutspur::net
