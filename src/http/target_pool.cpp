#include "http/target_pool.h"

#include <event2/buffer.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

#include "core/scheduler_thread.h"
#include "log/log.h"

namespace walnutspur::http {
namespace {

constexpr double kTargetPart = 0.35;  // of the descriptors
constexpr double kIdlePart = 0.8;     // of the time after which targets close idle connections
constexpr Time kProbeWait = 250'000;  // us
// A second copy of an answer may come some milliseconds late. No message names its request: on a connection
// that was used again by then it would be taken for the next one's answer.
constexpr Time kSettle = 8'000;               // us after an answer before its connection is used again
constexpr Time kLateUp = 2'000'000;           // us that a connection without an attempt may take to come up
constexpr std::size_t kMostAnswer = 1 << 20;  // bytes of one answer's body
constexpr std::size_t kUsual = 64 << 10;      // bytes of a body that the protocol names
constexpr std::size_t kMemoryPart = 8;  // of the memory one part is for bodies beyond that, all together

std::string Wording(const Request* request, const std::string& host, Time limit) {
  if (!request) return "GET /-/healthy HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
  std::string text = (request->is_put ? "PUT " : "GET ") + request->uri + " HTTP/1.1\r\nHost: " + host +
                     "\r\nX-Request-Id: " + request->id + "\r\nX-Deadline: " + Seconds(limit) + "\r\n";
  text += request->headers;
  if (request->is_put) text += "Content-Length: " + std::to_string(request->body.size()) + "\r\n";
  return text + "\r\n" + request->body;
}

}  // namespace

TargetPool::TargetPool(event_base* base, const Config& config, core::SubmitInput post)
    : base_(base),
      config_(config),
      post_(std::move(post)),
      most_(static_cast<std::size_t>(config.sockets * kTargetPart)),
      most_bytes_((static_cast<std::size_t>(config.memory_mb) << 20) / kMemoryPart),
      sweep_(loop::MakeTimer(base, [this] { discarded_.clear(); })) {}

TargetPool::~TargetPool() = default;

void TargetPool::SetAddress(const TargetId& target, const std::string& address) {
  std::string& known = addresses_[target];
  if (known == address) return;
  known = address;
  CloseIdle(target);
}

void TargetPool::Remove(const TargetId& target) {
  addresses_.erase(target);
  CloseIdle(target);
}

void TargetPool::RetainOnly(const std::set<TargetId>& targets) {
  std::vector<TargetId> gone;
  for (const auto& [target, address] : addresses_) {
    if (!targets.contains(target)) gone.push_back(target);
  }
  for (const TargetId& target : gone) Remove(target);
}

void TargetPool::CloseIdle(const TargetId& target) {
  if (const auto spare = spares_.find(target); spare != spares_.end()) Discard(*spare->second);
  const auto at = idle_.find(target);
  if (at == idle_.end()) return;
  const auto idle = std::move(at->second);
  idle_.erase(at);
  for (Connection* connection : idle) Discard(*connection);
}

void TargetPool::Start(const core::StartAttempt& attempt) {
  Launch({attempt.request, attempt.attempt}, attempt.target, attempt.timeout, attempt.not_after,
         static_cast<const Request*>(attempt.payload.get()));
}

void TargetPool::CheckHealth(const TargetId& target) {
  Launch({0, static_cast<int>(++probes_)}, target, kProbeWait, 0, nullptr);
}

// An idle connection on which something has come, be it the end, is none to send on: what came would be taken
// for the answer to the next request, and a request that meets the end may have run for all one can tell.
TargetPool::Connection* TargetPool::TakeIdle(const TargetId& target) {
  const Time now = core::Now();
  while (true) {
    const auto at = idle_.find(target);
    if (at == idle_.end()) return nullptr;
    auto& idle = at->second;
    auto last = std::find_if(idle.rbegin(), idle.rend(),
                             [now](const Connection* c) { return now - c->answered >= kSettle; });
    if (last == idle.rend()) last = std::prev(idle.rend());  // that which was answered first
    Connection* connection = *last;
    char byte;
    if (recv(bufferevent_getfd(connection->stream.get()), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0) {
      Discard(*connection);
      continue;
    }
    idle.erase(std::next(last).base());
    if (idle.empty()) idle_.erase(at);
    connection->idle.Stop();
    return connection;
  }
}

// Descriptors are bounded: an idle connection to another target makes room for a new one.
bool TargetPool::MakeRoom() {
  if (connections_.size() < most_) return true;
  if (idle_.empty() && spares_.empty()) return false;
  Discard(idle_.empty() ? *spares_.begin()->second : *idle_.begin()->second.front());
  return true;
}

TargetPool::Connection* TargetPool::Open(const TargetId& target) {
  const auto known = addresses_.find(target);
  if (known == addresses_.end() || known->second.empty() || !MakeRoom()) return nullptr;
  sockaddr_in address{};
  try {
    address = loop::ToSocket(loop::ParseAddress(known->second));
  } catch (const std::exception&) {
    return nullptr;  // discovery named no address that can be reached
  }
  auto connection = std::make_unique<Connection>();
  Connection* c = connection.get();
  c->owner = this;
  c->number = next_++;
  c->target = target;
  c->stream.reset(bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
  if (!c->stream) return nullptr;
  bufferevent_setcb(
      c->stream.get(),
      [](bufferevent*, void* arg) {
        auto* self = static_cast<Connection*>(arg);
        self->owner->OnRead(*self);
      },
      nullptr,
      [](bufferevent* stream, short what, void* arg) {
        auto* self = static_cast<Connection*>(arg);
        if (what & BEV_EVENT_CONNECTED) {
          const int on = 1;
          setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
          self->owner->OnUp(*self);
        }
        if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))) return;
        if (!self->attempt) return self->owner->Discard(*self);
        if (self->state == State::kSettling) return self->owner->Move(*self);
        // Only an end in order is the end of an answer without a length; all that came before it has been
        // read.
        if (!(what & BEV_EVENT_ERROR)) self->answer.End();
        if (self->answer.complete() && self->owner->Written(*self)) return self->owner->OnAnswer(*self);
        self->owner->Break(*self, Outcome::kConnectionReset);
      },
      c);
  const std::uint64_t number = c->number;
  const auto let_go = [this, number](Outcome outcome) {
    const auto at = connections_.find(number);
    if (at != connections_.end()) LetGo(*at->second, outcome);
  };
  c->connect = loop::MakeTimer(base_, [let_go] { let_go(Outcome::kConnectFailed); });
  c->limit = loop::MakeTimer(base_, [let_go] { let_go(Outcome::kTimedOut); });
  c->settled = loop::MakeTimer(base_, [this, number] {
    const auto at = connections_.find(number);
    if (at != connections_.end()) Begin(*at->second);
  });
  c->idle = loop::MakeTimer(base_, [this, number] {
    const auto at = connections_.find(number);
    if (at != connections_.end()) Discard(*at->second);
  });
  connections_[number] = std::move(connection);
  bufferevent_enable(c->stream.get(), EV_READ | EV_WRITE);
  if (bufferevent_socket_connect(c->stream.get(), reinterpret_cast<sockaddr*>(&address), sizeof address) !=
      0) {
    Discard(*c);
    return nullptr;
  }
  return c;
}

void TargetPool::Launch(const Key& key, const TargetId& target, Time limit, Time begin_by,
                        const Request* request) {
  if (begin_by > 0 && core::Now() >= begin_by) return NeverSent(key, target);
  Connection* c = TakeIdle(target);
  if (!c) c = Open(target);
  if (!c) return NeverSent(key, target);  // no address or no descriptor
  c->attempt = key;
  c->begin_by = begin_by;
  c->reads = request && !request->is_put;
  c->wanted = request ? request->wanted_digest : std::nullopt;
  c->uri = c->reads && config_.digests.on ? request->uri : std::string();
  c->sent = core::Now();
  c->answer = MessageReader(MessageReader::Kind::kResponse, kMostAnswer);
  attempts_[key] = c;
  c->until = c->sent + limit;
  c->limit.Start(limit);
  c->text = Wording(request, addresses_[target], limit);
  if (c->state == State::kDialing) return c->connect.Start(config_.connect_timeout);
  c->state = State::kSettling;
  const Time rest = c->answered + kSettle - c->sent;
  if (rest > 0) return c->settled.Start(rest);
  Begin(*c);
}

void TargetPool::NeverSent(const Key& key, const TargetId& target) {
  if (key.first == 0) return post_(core::HealthCheckResult{{target, Outcome::kConnectFailed, 0, {}}});
  core::AttemptResult ended;
  ended.request = key.first;
  ended.attempt = key.second;
  ended.outcome = Outcome::kConnectFailed;
  post_(std::move(ended));
}

// Its attempt goes into the stream only now that the connection is up and quiet: one that was given up
// meanwhile, or whose repeat the target would drop no more, must not arrive.
void TargetPool::Begin(Connection& c) {
  const bool late = c.begin_by > 0 && core::Now() >= c.begin_by;
  if (late || (c.attempt->first != 0 && !is_client_connected(c.attempt->first))) {
    core::AttemptResult ended;
    ended.outcome = late ? Outcome::kConnectFailed : Outcome::kNotSent;
    Report(c, std::move(ended));
    return Rest(c);
  }
  char byte;
  if (c.state == State::kSettling &&
      recv(bufferevent_getfd(c.stream.get()), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0)
    return Move(c);
  c.state = State::kBusy;
  bufferevent_write(c.stream.get(), c.text.data(), c.text.size());
  c.text = {};
}

// Something has come on a connection whose attempt has not begun: it goes to a new one.
void TargetPool::Move(Connection& from) {
  Connection* to = Open(from.target);
  if (!to) return Break(from, Outcome::kConnectFailed);
  to->attempt = std::exchange(from.attempt, std::nullopt);
  to->begin_by = from.begin_by;
  to->reads = from.reads;
  to->wanted = from.wanted;
  to->uri = std::move(from.uri);
  to->sent = from.sent;
  to->until = from.until;
  to->text = std::move(from.text);
  to->answer = MessageReader(MessageReader::Kind::kResponse, kMostAnswer);
  attempts_[*to->attempt] = to;
  Discard(from);
  to->connect.Start(config_.connect_timeout);
  to->limit.Start(to->until - core::Now());
}

void TargetPool::OnUp(Connection& c) {
  c.connect.Stop();
  if (c.state == State::kSpare) {
    spares_.erase(c.target);
    return Rest(c);
  }
  Begin(c);
}

void TargetPool::Rest(Connection& c) {
  if (!addresses_.contains(c.target)) return Discard(c);
  c.state = State::kIdle;
  c.text = {};
  idle_[c.target].push_back(&c);
  c.idle.Start(static_cast<Time>(kIdlePart * static_cast<double>(config_.idle_timeout)));
}

// The attempt is given up. A connection that is still coming up has been paid for, and the next attempt would
// begin another: it is kept until it has come up late, one of a target.
void TargetPool::LetGo(Connection& c, Outcome outcome) {
  if (c.state == State::kSpare) return Discard(c);  // it never came up
  const bool keeps = c.state == State::kSettling || c.state == State::kDialing;
  if (!keeps || (c.state == State::kDialing && spares_.contains(c.target))) return Break(c, outcome);
  core::AttemptResult ended;
  ended.outcome = outcome == Outcome::kCancelled ? outcome : Outcome::kConnectFailed;
  Report(c, std::move(ended));
  c.text = {};
  if (c.state == State::kSettling) return Rest(c);
  c.state = State::kSpare;
  spares_[c.target] = &c;
  c.connect.Start(kLateUp);
}

// Whether the attempt's last byte has left: only then may it have run.
bool TargetPool::Written(const Connection& c) const {
  return c.state == State::kBusy && evbuffer_get_length(bufferevent_get_output(c.stream.get())) == 0;
}

// Guards the memory: answers go beyond the 64 KiB that the protocol names, and all targets may send such at
// once.
bool TargetPool::Fits() const {
  std::size_t bytes = 0;
  for (const auto& [key, connection] : attempts_) {
    const std::size_t claimed = connection->answer.declared_body_bytes();
    if (claimed > kUsual) bytes += claimed;
  }
  return bytes <= most_bytes_;
}

void TargetPool::OnRead(Connection& c) {
  // Nothing was asked: it would be taken for the answer to the next request.
  if (!c.attempt) return Discard(c);
  if (c.state == State::kSettling) return Move(c);
  evbuffer* input = bufferevent_get_input(c.stream.get());
  while (!c.answer.complete() && !c.answer.malformed()) {
    const std::size_t size = evbuffer_get_contiguous_space(input);
    if (size == 0) return;
    const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
    evbuffer_drain(input, c.answer.Feed({bytes, size}));
    if (c.answer.declared_body_bytes() > kUsual && !Fits()) return Break(c, Outcome::kConnectionReset);
  }
  // An answer to what has not left whole is not this request's, and one that cannot be read is nobody's: the
  // request may have run, and nothing more that comes on the connection can be told apart.
  if (c.answer.malformed() || !Written(c)) return Break(c, Outcome::kConnectionReset);
  OnAnswer(c);
}

void TargetPool::OnAnswer(Connection& c) {
  const Header header = [&c](const char* name) { return c.answer.Find(name); };
  core::AttemptResult ended;
  ended.outcome = OutcomeOf(c.answer.code(), header);
  ReadLoadHeaders(config_.settings.load_report_fields, header, &ended);
  if (ended.outcome == Outcome::kCompleted) {
    auto payload = std::make_shared<Response>();
    payload->body = std::move(c.answer.body());
    if (config_.digests.on) {
      DigestCheck check = CheckDigests(c.answer, payload->body, c.reads);
      if (check.match != integrity::Match::kNone && c.reads && on_digest_checked)
        on_digest_checked(c.target, c.uri, check.match == integrity::Match::kGood, payload->body);
      if (check.match == integrity::Match::kDifferent) return Damaged(c);
      payload->headers = std::move(check.headers);
      if (payload->headers.empty() && c.wanted)
        payload->headers = "Content-Digest: " + integrity::DigestField(*c.wanted, payload->body) + "\r\n";
    }
    ended.payload = std::move(payload);
  }
  const bool keeps =
      c.answer.keeps_alive() && evbuffer_get_length(bufferevent_get_input(c.stream.get())) == 0;
  Report(c, std::move(ended));
  c.answered = core::Now();
  // What is behind an answer belongs to no request of ours.
  if (!keeps) return Discard(c);
  Rest(c);
}

// The box has done the work, but what came back is not what it sent. Not a byte of it goes on, and nothing
// more is asked on a connection that may be what damaged it.
void TargetPool::Damaged(Connection& c) {
  log::Event(log::Level::kWarn, "answer_damaged",
             {{"request", std::to_string(c.attempt->first)}, {"box", c.target}});
  core::AttemptResult ended;
  ended.outcome = Outcome::kCorrupted;
  Report(c, std::move(ended));
  Discard(c);
}

// The attempt ends without an answer. What never left whole never ran, whatever ended it.
void TargetPool::Break(Connection& c, Outcome outcome) {
  if (!c.attempt) return;
  core::AttemptResult ended;
  if (outcome != Outcome::kCancelled && !Written(c)) outcome = Outcome::kConnectFailed;
  ended.outcome = outcome;
  Report(c, std::move(ended));
  Discard(c);
}

void TargetPool::Report(Connection& c, core::AttemptResult ended) {
  const Key key = *c.attempt;
  c.attempt.reset();
  c.connect.Stop();
  c.settled.Stop();
  c.limit.Stop();
  attempts_.erase(key);
  ended.request = key.first;
  ended.attempt = key.second;
  ended.latency = core::Now() - c.sent;
  if (key.first != 0) return post_(std::move(ended));
  post_(core::HealthCheckResult{{c.target, ended.outcome, ended.latency, std::move(ended.load_report)}});
}

// Closes a connection, but not inside of a callback of its own.
void TargetPool::Discard(Connection& c) {
  const auto at = connections_.find(c.number);
  if (at == connections_.end()) return;
  c.connect.Stop();
  c.settled.Stop();
  c.limit.Stop();
  c.idle.Stop();
  if (c.state == State::kSpare) spares_.erase(c.target);
  if (const auto idle = idle_.find(c.target); idle != idle_.end()) {
    std::erase(idle->second, &c);
    if (idle->second.empty()) idle_.erase(idle);
  }
  // Nothing that waits in it may leave any more, and nothing of it calls back.
  bufferevent_disable(c.stream.get(), EV_READ | EV_WRITE);
  bufferevent_setcb(c.stream.get(), nullptr, nullptr, nullptr, nullptr);
  discarded_.push_back(std::move(at->second));
  connections_.erase(at);
  sweep_.Start(0);
}

void TargetPool::Cancel(core::RequestNumber serial, int trial) {
  const auto at = attempts_.find({serial, trial});
  if (at != attempts_.end()) LetGo(*at->second, Outcome::kCancelled);
}

// Guards the rule on drains: an attempt whose connection is still coming up would reach the target later.
void TargetPool::Drain(const TargetId& target) {
  std::vector<Connection*> unsent;
  for (const auto& [key, connection] : attempts_) {
    if (connection->target == target && !Written(*connection)) unsent.push_back(connection);
  }
  for (Connection* connection : unsent) Break(*connection, Outcome::kConnectFailed);
  CloseIdle(target);
}

std::map<TargetId, std::uint32_t> TargetPool::connections_by_target() const {
  std::map<TargetId, std::uint32_t> count;
  for (const auto& [number, connection] : connections_) ++count[connection->target];
  return count;
}

}  // namespace walnutspur::http
