#include "nbd/target_pool.h"

#include <event2/buffer.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <memory>

#include "core/scheduler_thread.h"
#include "loop/address.h"

namespace walnutspur::nbd {
namespace {

constexpr std::size_t kMostInFlight = 16;  // commands on one connection; beyond, another one is opened
constexpr double kIdlePart = 0.8;          // of the time that a connection may be idle

// What is short is cheaper to copy than to hold on to.
void AddShared(evbuffer* output, const integrity::Slice& slice) {
  constexpr std::size_t kWorthIt = 2048;
  if (slice.bytes.size() < kWorthIt) {
    evbuffer_add(output, slice.bytes.data(), slice.bytes.size());
    return;
  }
  using Owner = std::shared_ptr<const void>;
  auto owner = std::make_unique<Owner>(slice.owner);
  const auto release = [](const void*, std::size_t, void* held) {
    const std::unique_ptr<Owner> gone(static_cast<Owner*>(held));
  };
  if (evbuffer_add_reference(output, slice.bytes.data(), slice.bytes.size(), release, owner.get()) == 0) {
    static_cast<void>(owner.release());  // it is the buffer's now
  }
}

}  // namespace

// NBD has no reply that proves that a write never ran, not even the one of a server that shuts down. A read
// leaves no effect, so there the reply may be believed.
Outcome OutcomeOf(Error error, std::uint16_t command) {
  if (error == kOk) {
    return Outcome::kCompleted;
  }
  if (command == kRead && (error == kShutdown || error == kNoMemory)) {
    return Outcome::kOverloaded;
  }
  return Outcome::kErrored;
}

TargetPool::TargetPool(event_base* base, const Config& config, std::size_t most, core::SubmitInput post)
    : base_(base), config_(config), most_(most), post_(std::move(post)) {}

TargetPool::Connection* TargetPool::Find(const Place& place) {
  Connection* best = nullptr;
  for (const auto& [number, c] : connections_) {
    const std::size_t load = c->in_flight.size() + c->waiting.size();
    if (c->place != place || c->retired || load >= kMostInFlight) {
      continue;
    }
    if (!best || load < best->in_flight.size() + best->waiting.size()) {
      best = c.get();
    }
  }
  return best;
}

std::optional<std::uint16_t> TargetPool::flags(const TargetId& target, const std::string& remote) const {
  for (const auto& [number, c] : connections_) {
    if (c->place.box == target && c->place.remote == remote && c->session.ready()) {
      return c->session.flags();
    }
  }
  return std::nullopt;
}

TargetPool::Connection* TargetPool::Open(const Place& place) {
  const auto box = std::find_if(config_.targets.begin(), config_.targets.end(),
                                [&](const Target& b) { return b.id == place.box; });
  if (box == config_.targets.end() || connections_.size() >= most_) {
    return nullptr;
  }
  auto connection = std::make_unique<Connection>(place.remote);
  Connection* c = connection.get();
  c->owner = this;
  c->number = next_connection_++;
  c->place = place;
  c->stream.reset(bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
  if (!c->stream) {
    return nullptr;
  }
  // Covers the connection and the whole handshake: it is shorter than the grace of a drain, so nothing that
  // waited for either reaches a box that has begun to drain too late.
  c->connect = loop::MakeTimer(base_, [c] { c->owner->Break(*c); });
  c->idle = loop::MakeTimer(base_, [c] { c->owner->Break(*c); });
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
        }
        if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
          self->owner->Break(*self);
        }
      },
      c);
  bufferevent_enable(c->stream.get(), EV_READ | EV_WRITE);
  sockaddr_in address =
      loop::ToSocket(loop::ParseAddress(box->addresses[static_cast<std::size_t>(place.path)]));
  connections_[c->number] = std::move(connection);
  c->connect.Start(config_.connect_timeout);
  if (bufferevent_socket_connect(c->stream.get(), reinterpret_cast<sockaddr*>(&address), sizeof address) !=
      0) {
    connections_.erase(c->number);
    return nullptr;
  }
  return c;
}

void TargetPool::Start(const core::StartAttempt& attempt) {
  const Key key{attempt.request, attempt.attempt};
  Out& out = out_[key];
  out.attempt = attempt;
  out.sent = core::Now();
  const auto& command = static_cast<const CommandPayload&>(*attempt.payload);
  const Place place{attempt.target, command.remote, command.path};
  Connection* c = Find(place);
  if (!c) {
    c = Open(place);
  }
  if (!c) {
    return Report(key, Outcome::kConnectFailed);
  }
  out.connection = c;
  out.limit = loop::MakeTimer(base_, [this, key] { GiveUp(key, Outcome::kTimedOut); });
  out.limit.Start(attempt.timeout);
  c->idle.Stop();
  if (c->session.ready()) {
    Send(*c, key);
  } else {
    c->waiting.push_back(key);
  }
}

void TargetPool::Send(Connection& c, const Key& key) {
  Out& out = out_.at(key);
  const auto command = std::static_pointer_cast<const CommandPayload>(out.attempt.payload);
  Request request;  // its data follows without a copy
  request.flags = command->request.flags;
  request.type = command->request.type;
  request.offset = command->request.offset;
  request.length = command->request.length;
  request.cookie = out.cookie = next_cookie_++;
  // A flush covers what was written on its own connection, unless the box says otherwise, and here a write
  // and the flush after it may take two: such writes are durable by themselves where the box can do that.
  if (request.type == kWrite && (c.session.flags() & (kSendFua | kCanMultiConn)) == kSendFua) {
    request.flags |= kFua;
  }
  c.in_flight[out.cookie] = key;
  std::string bytes;
  c.session.Send(request, &bytes);
  evbuffer* output = bufferevent_get_output(c.stream.get());
  const std::size_t before = evbuffer_get_length(output);
  evbuffer_add(output, bytes.data(), bytes.size());
  AddShared(output, {command, command->request.data});
  for (const integrity::Slice& slice : command->tail) {
    AddShared(output, slice);
  }
  c.queued += evbuffer_get_length(output) - before;
  c.unsent.emplace_back(out.cookie, c.queued);
}

// Whether the command's last byte has left for the box.
bool TargetPool::Written(const Connection& c, std::uint64_t cookie) const {
  if (cookie == 0) {
    return false;
  }
  const std::uint64_t left = evbuffer_get_length(bufferevent_get_output(c.stream.get()));
  const auto at = std::find_if(c.unsent.begin(), c.unsent.end(), [&](auto& u) { return u.first == cookie; });
  return at == c.unsent.end() || at->second <= c.queued - left;
}

void TargetPool::OnRead(Connection& c) {
  evbuffer* input = bufferevent_get_input(c.stream.get());
  std::string bytes(evbuffer_get_length(input), '\0');
  std::string out;
  evbuffer_remove(input, bytes.data(), bytes.size());
  const bool was_ready = c.session.ready();
  std::vector<Reply> replies;
  c.session.Feed(bytes, &out, &replies);
  if (!out.empty()) {
    c.queued += out.size();
    bufferevent_write(c.stream.get(), out.data(), out.size());
  }
  for (Reply& reply : replies) {
    OnReply(c, std::move(reply));
  }
  if (c.session.ended() || c.session.surplus()) {
    return Break(c);
  }
  if (!was_ready && c.session.ready()) {
    c.connect.Stop();
    for (const Key& key : std::exchange(c.waiting, {})) {
      Send(c, key);
    }
  }
  Rest(c);
}

void TargetPool::OnReply(Connection& c, Reply reply) {
  std::erase_if(c.unsent, [&](const auto& u) { return u.first == reply.cookie; });
  const auto at = c.in_flight.find(reply.cookie);
  if (at == c.in_flight.end()) {
    return;  // it was given up
  }
  const Key key = at->second;
  c.in_flight.erase(at);
  const auto& request = static_cast<const CommandPayload&>(*out_.at(key).attempt.payload).request;
  core::PayloadRef payload;
  if (reply.error == kOk) {
    auto whole = std::make_shared<ReplyPayload>();
    whole->pieces = std::move(reply.pieces);
    payload = std::move(whole);
  }
  Report(key, OutcomeOf(reply.error, request.type), std::move(payload));
}

// A command cannot be called back by NBD. It is answered for without the box, whose reply is dropped when it
// comes; the connection gets nothing new, since a command stuck there would hold up what follows it.
void TargetPool::GiveUp(const Key& key, Outcome outcome) {
  const auto at = out_.find(key);
  if (at == out_.end()) {
    return;
  }
  Connection& c = *at->second.connection;
  const std::uint64_t cookie = at->second.cookie;
  const bool written = Written(c, cookie);
  std::erase(c.waiting, key);
  c.in_flight.erase(cookie);
  if (cookie != 0) {
    c.retired = true;
  }
  Report(key, written || outcome == Outcome::kCancelled ? outcome : Outcome::kConnectFailed);
  Rest(c);
}

void TargetPool::Cancel(core::RequestNumber serial, int trial) {
  GiveUp({serial, trial}, Outcome::kCancelled);
}

// Nothing new to a box that drains: what has not left whole is taken back. A part of a command may be in the
// stream, so the connection goes with it.
void TargetPool::Drain(const TargetId& target) {
  std::vector<Connection*> unsent;
  for (const auto& [number, c] : connections_) {
    if (c->place.box != target) {
      continue;
    }
    c->retired = true;
    const bool pending = std::any_of(c->in_flight.begin(), c->in_flight.end(),
                                     [&, &c = c](const auto& f) { return !Written(*c, f.first); });
    if (pending || !c->waiting.empty() || c->in_flight.empty()) {
      unsent.push_back(c.get());
    }
  }
  for (Connection* c : unsent) {
    Break(*c);
  }
}

void TargetPool::Report(const Key& key, Outcome outcome, core::PayloadRef payload) {
  const auto at = out_.find(key);
  core::AttemptResult ended;
  ended.request = key.first;
  ended.attempt = key.second;
  ended.outcome = outcome;
  ended.latency = core::Now() - at->second.sent;
  ended.payload = std::move(payload);
  out_.erase(at);
  post_(std::move(ended));
}

// The connection ends: what never left whole never ran, the rest may have.
void TargetPool::Break(Connection& c) {
  const auto at = connections_.find(c.number);
  if (at == connections_.end()) {
    return;
  }
  const std::unique_ptr<Connection> gone = std::move(at->second);
  connections_.erase(at);
  for (const Key& key : gone->waiting) {
    Report(key, Outcome::kConnectFailed);
  }
  for (const auto& [cookie, key] : gone->in_flight) {
    Report(key, Written(*gone, cookie) ? Outcome::kConnectionReset : Outcome::kConnectFailed);
  }
}

// Without work a connection closes: at once if it takes none any more, else before the box would close it.
void TargetPool::Rest(Connection& c) {
  if (!c.in_flight.empty() || !c.waiting.empty()) {
    return;
  }
  if (c.retired) {
    return c.idle.Start(0);
  }
  if (c.session.ready()) {
    c.idle.Start(static_cast<Time>(kIdlePart * static_cast<double>(config_.idle_timeout)));
  }
}

}  // namespace walnutspur::nbd
