#include "http/front_end.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>
#include <utility>
#include <vector>

#include "core/scheduler_thread.h"
#include "log/log.h"
#include "loop/peer.h"

namespace walnutspur::http {
namespace {

constexpr Time kWhole = 2'500'000;      // us from its start by which a request must be whole
constexpr Time kIdle = 20'000'000;      // us that a connection may stay idle
constexpr Time kIdleOnce = 2'000'000;   // us that one may which has asked once: many never ask again
constexpr Time kUnread = 10'000'000;    // us in which a client must have read its answer
constexpr Time kLinger = 500'000;       // us after the last answer in which the client may close first
constexpr Time kPause = 50'000;         // us in which a client that was turned away is not read
constexpr Time kCloseIdle = 100'000;    // us before all has to be answered, in which idle connections close
constexpr Time kCloseAll = -50'000;     // us: after all has to be answered; then all others are shut as well
constexpr Time kCloseHeld = -100'000;   // us: at the very end also what a late loop has left unanswered
constexpr Time kAcceptAgain = 20'000;   // us without accepting when there is no room
constexpr Time kDeadlineGuard = 5'000;  // us past the deadline: attempts' own timers come first
constexpr Time kSettle = 30'000;        // us that a new connection has to say something, or something more
constexpr Time kIdleLeast = 250'000;    // us that one which asks again and again is kept while idle
constexpr double kClientPart = 0.36;    // of the descriptors: clients hold a third; all must be accepted
constexpr int kBacklog = 1024;
constexpr std::size_t kUsualBody = 64 << 10;     // bytes; larger answers are served while there is memory
constexpr std::size_t kUnreadPart = 4;           // of the memory one part is for answers that are not read
constexpr std::size_t kMostAhead = 16 << 10;     // bytes read ahead of the request that waits
constexpr std::size_t kMostDropped = 256 << 10;  // bytes read behind the last answer
constexpr std::size_t kMostFlood = 4 << 20;      // bytes read behind a request that waits

const char* Phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    case 505:
      return "HTTP Version Not Supported";
    default:
      return "Error";
  }
}

}  // namespace

FrontEnd::FrontEnd(event_base* base, const Config& config, core::RequestNumbers* serials,
                   core::SubmitInput post)
    : base_(base),
      config_(config),
      serials_(serials),
      post_(std::move(post)),
      most_(std::max<std::size_t>(1, static_cast<std::size_t>(config.sockets * kClientPart))),
      resume_(loop::MakeTimer(base, [this] {
        if (clients_.size() >= most_ && !MakeRoom()) return Pause();
        evconnlistener_enable(listener_.get());
      })) {
  sockaddr_in address = loop::ToSocket(config.listen);
  listener_.reset(evconnlistener_new_bind(
      base,
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg) {
        static_cast<FrontEnd*>(arg)->OnAccept(fd);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, kBacklog,
      reinterpret_cast<sockaddr*>(&address), sizeof address));
  if (!listener_)
    throw std::runtime_error("cannot listen at " + config.listen.host + ":" +
                             std::to_string(config.listen.port) + ": " + std::strerror(errno));
  // EMFILE and the like must not make the loop spin on a listener that stays readable, nor end the program.
  evconnlistener_set_error_cb(listener_.get(), [](evconnlistener*, void* arg) {
    auto* self = static_cast<FrontEnd*>(arg);
    self->MakeRoom();
    self->Pause();
  });
  socklen_t length = sizeof address;
  getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&address), &length);
  port_ = ntohs(address.sin_port);
}

FrontEnd::~FrontEnd() = default;

void FrontEnd::Pause() {
  if (!listener_) return;
  evconnlistener_disable(listener_.get());
  resume_.Start(kAcceptAgain);
}

void FrontEnd::OnAccept(evutil_socket_t fd) {
  auto made = std::make_unique<Client>();
  Client* c = made.get();
  c->owner = this;
  c->number = next_++;
  c->since = core::Now();
  c->stream.reset(bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE));
  if (!c->stream) {
    close(fd);
    return;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  // Each ends a wait that a client could stretch for good.
  c->unfinished =
      loop::MakeTimer(base_, [this, c] { TurnAway(*c, 408, "the request did not become whole in time"); });
  c->idle = loop::MakeTimer(base_, [this, c] { End(*c); });
  c->unread = loop::MakeTimer(base_, [this, c] { End(*c); });
  c->linger = loop::MakeTimer(base_, [this, c] { End(*c); });
  c->pause = loop::MakeTimer(base_, [this, c] {
    bufferevent_enable(c->stream.get(), EV_READ);
    OnRead(*c);
  });
  c->unfinished.Start(kWhole);  // from connecting on, whatever comes in the meantime
  bufferevent_setcb(
      c->stream.get(),
      [](bufferevent*, void* arg) {
        auto* self = static_cast<Client*>(arg);
        self->owner->OnRead(*self);
      },
      [](bufferevent*, void* arg) {
        auto* self = static_cast<Client*>(arg);
        self->owner->OnWritten(*self);
      },
      [](bufferevent*, short what, void* arg) {
        auto* self = static_cast<Client*>(arg);
        if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) self->owner->End(*self);
      },
      c);
  bufferevent_setwatermark(c->stream.get(), EV_READ, 0, kMostAhead);
  clients_[c->number] = std::move(made);
  if (on_accept) on_accept(c->stream.get());
  bufferevent_enable(c->stream.get(), EV_READ | EV_WRITE);
  if (clients_.size() >= most_ && !MakeRoom()) Pause();
}

// Guards usual clients against floods: for a new connection one goes that is of no use any more, or has said
// nothing whole since it came, or else has asked once and no more, or has been idle the longest. While all
// that could go have only just come, further ones wait in the listener's backlog.
bool FrontEnd::MakeRoom() {
  const Time now = core::Now();
  Client* best = nullptr;
  int best_rank = 0;
  for (const auto& [number, c] : clients_) {
    const Time age = now - c->since;
    const Time least = c->asked <= 1 ? kSettle : kIdleLeast;
    const int rank = c->closing      ? 1
                     : age < least   ? 0
                     : c->asked == 0 ? 2
                     : !Idle(*c)     ? 0
                     : c->asked == 1 ? 3
                                     : 4;
    if (rank == 0 || (best && (rank > best_rank || (rank == best_rank && c->since >= best->since)))) continue;
    // What it sent may wait for our own turn: a program that is short of its core ages all of them.
    if (rank > 1 && Unread(*c)) continue;
    best = c.get();
    best_rank = rank;
  }
  if (best) End(*best);
  return best != nullptr;
}

bool FrontEnd::Unread(const Client& client) const {
  int bytes = 0;
  return ioctl(bufferevent_getfd(client.stream.get()), FIONREAD, &bytes) == 0 && bytes > 0;
}

bool FrontEnd::Idle(const Client& client) const {
  return client.serial == 0 && !client.reader.started() &&
         evbuffer_get_length(bufferevent_get_input(client.stream.get())) == 0 &&
         evbuffer_get_length(bufferevent_get_output(client.stream.get())) == 0;
}

void FrontEnd::OnRead(Client& client) {
  const std::uint64_t number = client.number;
  while (clients_.contains(number) && Read(client)) {
  }
}

// Reads up to the end of one request; whether to go on. One request is served at a time: what a client sends
// ahead waits in the stream, and beyond its bound is not read.
bool FrontEnd::Read(Client& client) {
  evbuffer* input = bufferevent_get_input(client.stream.get());
  const std::size_t size = evbuffer_get_contiguous_space(input);
  if (size == 0) return false;
  if (client.closing) {  // closing with bytes unread would reset the connection before the answer is read
    client.dropped += size;
    evbuffer_drain(input, size);
    if (client.dropped <= kMostDropped) return true;
    End(client);
    return false;
  }
  if (client.serial != 0 && evbuffer_get_length(input) >= kMostAhead) return Flooded(client);
  if (client.serial != 0 || !(bufferevent_get_enabled(client.stream.get()) & EV_READ)) return false;
  if (!client.reader.started() && client.asked > 0) client.unfinished.Start(kWhole);
  client.idle.Stop();
  const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
  evbuffer_drain(input, client.reader.Feed({bytes, size}));
  if (client.reader.malformed()) {
    client.last = true;  // where the next request would begin cannot be told
    TurnAway(client, client.reader.status(), client.reader.error());
  } else if (client.reader.complete()) {
    client.unfinished.Stop();
    ++client.asked;
    OnRequest(client);
  } else if (client.reader.expects_continue() && !std::exchange(client.told, true)) {
    bufferevent_write(client.stream.get(), "HTTP/1.1 100 Continue\r\n\r\n", 25);
  }
  return true;
}

// Clients send one request at a time. Of one that sends so much ahead nothing more is served, and what it
// sends is read on: its bound would stop the reading, and with it hide that the client has left. Whether to
// go on.
bool FrontEnd::Flooded(Client& client) {
  evbuffer* input = bufferevent_get_input(client.stream.get());
  client.last = true;
  client.dropped += evbuffer_get_length(input);
  evbuffer_drain(input, evbuffer_get_length(input));
  if (client.dropped > kMostFlood) End(client);
  return false;
}

// The answer is all written; the last one ends the connection.
void FrontEnd::OnWritten(Client& client) {
  client.unread.Stop();
  if (client.closing) shutdown(bufferevent_getfd(client.stream.get()), SHUT_WR);
}

void FrontEnd::Reply(Client& client, int status, const std::string& body, const std::string& headers) {
  client.last = client.last || draining_ || !client.reader.keeps_alive();
  const std::string text =
      "HTTP/1.1 " + std::to_string(status) + " " + Phrase(status) +
      "\r\nContent-Type: application/octet-stream\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n" + headers + (client.last ? "Connection: close\r\n\r\n" : "\r\n") + body;
  client.reader = MessageReader(MessageReader::Kind::kRequest);
  client.told = false;
  client.since = core::Now();
  client.unfinished.Stop();
  if (client.last) {
    client.closing = true;
    client.linger.Start(kLinger);
  } else if (end_ == 0) {
    client.idle.Start(client.asked > 1 ? kIdle : kIdleOnce);
  }
  client.unread.Start(kUnread);
  bufferevent_write(client.stream.get(), text.data(), text.size());
}

// What cannot be taken is answered here and goes no further. Who sends such requests gets no more than a few
// of them read in a second, so that a flood of them leaves time for usual clients.
void FrontEnd::TurnAway(Client& client, int status, const std::string& why) {
  const bool more = evbuffer_get_length(bufferevent_get_input(client.stream.get())) > 0;
  client.last = client.last || more || status == 408;
  Reply(client, status, why + "\n", status == 405 ? "Allow: GET, PUT\r\n" : "");
  if (client.closing) return;
  bufferevent_disable(client.stream.get(), EV_READ);
  client.pause.Start(kPause);
}

void FrontEnd::OnRequest(Client& client) {
  MessageReader& read = client.reader;
  if (read.uri() == "/-/ready") {
    if (read.method() != "GET") return TurnAway(client, 405, "it is asked by a GET");
    return Reply(client, ready_ ? 200 : 503, ready_ ? "ready\n" : "not yet\n");
  }
  if (read.method() != "GET" && read.method() != "PUT")
    return TurnAway(client, 405, "a read is a GET, a write is a PUT");
  const Header header = [&read](const char* name) { return read.Find(name); };
  for (const char* name : {"X-Request-Id", "X-Class", "X-Plan", "X-Deadline", "X-IO", "Idempotency-Key"}) {
    if (read.Count(name) > 1)
      return TurnAway(client, 400, std::string(name) + " stands there more than once");
  }
  auto payload = std::make_shared<Request>();
  payload->is_put = read.method() == "PUT";
  payload->uri = read.uri();
  if (const char* id = header("X-Request-Id")) payload->id = id;
  // By it targets drop the repeats of a keyed request.
  if (const char* key = header("Idempotency-Key"))
    payload->headers = "Idempotency-Key: " + std::string(key) + "\r\n";
  payload->body = std::move(read.body());

  if (config_.digests.on && !TakeDigests(client, payload.get())) return;

  core::RequestReceived arrived;
  Time patience = 0;
  if (const auto wrong = ReadRequest(config_, *payload, header, &arrived, &patience))
    return TurnAway(client, 400, *wrong);

  arrived.request = client.serial = serials_->next++;
  arrived.protocol = core::Protocol::kHttp;
  arrived.client_request_id = payload->id;
  // The client's wait began when it sent this; of what the loop spent before it got here, only the clock at
  // its wake-up tells.
  timeval woke{}, now{};
  event_base_gettimeofday_cached(base_, &woke);
  evutil_gettimeofday(&now, nullptr);
  const Time late = (now.tv_sec - woke.tv_sec) * 1'000'000 + (now.tv_usec - woke.tv_usec);
  const Time left = patience - std::clamp<Time>(late, 0, patience);
  arrived.deadline = core::Now() + left;
  arrived.payload = std::move(payload);

  Held& held = held_[arrived.request];
  held.client = client.number;
  const core::RequestNumber serial = arrived.request;
  held.deadline = loop::MakeTimer(base_, [this, serial] { post_(core::DeadlineExpired{serial}); });
  held.came = core::Now();
  held.until = arrived.deadline + kDeadlineGuard;
  held.deadline.Start((end_ > 0 ? std::min(held.until, end_) : held.until) - core::Now());
  post_(std::move(arrived));
}

// A write that came damaged must reach no box; what came without a digest gets one here, so that it is
// covered from here on.
bool FrontEnd::TakeDigests(Client& client, Request* payload) {
  const DigestCheck check = CheckDigests(client.reader, payload->body, payload->is_put);
  if (check.match == integrity::Match::kDifferent) {
    log::Event(log::Level::kWarn, "request_damaged", {{"request", payload->id}});
    TurnAway(client, 400, "the digest is not that of the content");
    return false;
  }
  payload->headers += check.headers;
  if (payload->is_put && check.headers.empty() && config_.digests.compute)
    payload->headers +=
        "Content-Digest: " + integrity::DigestField(*config_.digests.compute, payload->body) + "\r\n";
  bool asked = false;
  for (const char* name : {"Want-Content-Digest", "Want-Repr-Digest"}) {
    const std::string field = client.reader.Joined(name);
    if (field.empty()) continue;
    asked = true;
    payload->headers += std::string(name) + ": " + field + "\r\n";
    if (!payload->wanted_digest) payload->wanted_digest = integrity::Wanted(field);
  }
  if (!asked && !payload->is_put && config_.digests.compute)
    payload->headers +=
        "Want-Content-Digest: " + std::string(integrity::NameOf(*config_.digests.compute)) + "=1\r\n";
  return true;
}

void FrontEnd::Respond(const core::Response& answer) {
  const auto at = held_.find(answer.request);
  if (at == held_.end()) return;  // the client has left
  Client& client = *clients_.at(at->second.client);
  client.serial = 0;
  client.dropped = 0;
  last_answers_.OnResponse(core::Now() - at->second.came);
  held_.erase(at);
  switch (answer.status) {
    case core::ResponseStatus::kServed: {
      const auto& whole = static_cast<const Response&>(*answer.payload);
      if (Fits(whole.body.size())) {
        Reply(client, 200, whole.body, whole.headers);
      } else {
        Reply(client, 500, "no room for the answer\n");
      }
      break;
    }
    case core::ResponseStatus::kRejected:
      Reply(client, 503, "refused\n", "Retry-After: " + Seconds(answer.retry_after) + "\r\n");
      break;
    case core::ResponseStatus::kTimedOut:
      Reply(client, 504, "timed out\n");
      break;
    case core::ResponseStatus::kFailed:
      Reply(client, 500, "failed\n");
      break;
    case core::ResponseStatus::kDuplicate:
      TurnAway(client, 409, "a request with this X-Request-Id is open");
      break;
  }
  OnRead(client);  // what was sent ahead
}

bool FrontEnd::IsClientConnected(core::RequestNumber serial) {
  const auto at = held_.find(serial);
  if (at == held_.end()) return false;
  Client& client = *clients_.at(at->second.client);
  if (!loop::PeerHasClosed(bufferevent_getfd(client.stream.get()))) return true;
  End(client);
  return false;
}

// Guards the memory: large answers wait for as long as clients are slow to read theirs.
bool FrontEnd::Fits(std::size_t size) const {
  if (size <= kUsualBody) return true;
  for (const auto& [number, c] : clients_)
    size += evbuffer_get_length(bufferevent_get_output(c->stream.get()));
  return size <= (static_cast<std::size_t>(config_.memory_mb) << 20) / kUnreadPart;
}

void FrontEnd::End(Client& client) {
  const auto at = clients_.find(client.number);
  if (at == clients_.end()) return;
  const std::unique_ptr<Client> gone = std::move(at->second);
  clients_.erase(at);
  if (gone->serial != 0 && held_.erase(gone->serial) > 0) post_(core::ClientClosed{gone->serial});
}

// Guards against requests that the end of the program would find unanswered, and keeps idle connections until
// then: a client that lost one now would find nobody to ask on a new one.
void FrontEnd::SetShutdownDeadline(Time end) {
  end_ = end;
  for (auto& [serial, held] : held_) {
    if (held.until > end) held.deadline.Start(end - core::Now());
  }
  for (auto& [number, client] : clients_) client->idle.Stop();
}

// Guards against connections that end without a word on a request: a busy one ends with an answer, an idle
// one is shut for writing first and read until its client has closed it, so that no reset reaches a client
// that just sent something. So is, at last, one that holds half a request or what is not read yet. Idle ones
// go on for as long as they can: they would find nobody else.
void FrontEnd::BeginGracefulShutdown(Time left) {
  if (!draining_ && last_answers_.IsLastResponse(left)) {
    draining_ = true;
    StopAccepting();
  }
  if (left > kCloseIdle) return;
  for (const auto& [number, client] : clients_) {
    if (client->closing || (client->serial != 0 && left > kCloseHeld)) continue;
    if (left > kCloseAll && (!Idle(*client) || Unread(*client))) continue;
    client->closing = true;
    client->unfinished.Stop();
    shutdown(bufferevent_getfd(client->stream.get()), SHUT_WR);
  }
}

// What the kernel has accepted by now is taken: its requests count as ours.
void FrontEnd::StopAccepting() {
  const evutil_socket_t fd = evconnlistener_get_fd(listener_.get());
  for (int client; (client = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;)
    OnAccept(client);
  resume_.Stop();
  listener_.reset();
}

}  // namespace walnutspur::http
