#include "nbd/front_end.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>
#include <vector>

#include "core/scheduler_thread.h"
#include "loop/address.h"
#include "loop/peer.h"
#include "nbd/payload.h"

namespace walnutspur::nbd {
namespace {

constexpr std::size_t kMostInFlight = 32;       // commands of one client; then it is not read
constexpr std::size_t kMostUnread = 256 << 10;  // bytes of answers that a client leaves unread; likewise
constexpr Time kAcceptAgain = 20'000;           // us
constexpr Time kWhole = 2'500'000;              // us in which a command must be whole
constexpr Time kSettle = 30'000;                // us that a new connection has to say something
constexpr Time kSilent = 250'000;               // us that one has to ask something once it could
constexpr Time kDeadlineGuard = 5'000;          // us, like the HTTP front's

std::string HoldOff(Time time) { return std::to_string(time / 1000) + " ms"; }

}  // namespace

Error ErrorOf(core::ResponseStatus verdict) {
  switch (verdict) {
    case core::ResponseStatus::kServed:
      return kOk;
    case core::ResponseStatus::kRejected:
      return kNoMemory;  // for want of resources: trying again is harmless
    case core::ResponseStatus::kFailed:
    case core::ResponseStatus::kTimedOut:
      return kIo;  // the effect is unknown
    case core::ResponseStatus::kDuplicate:
      return kInvalid;
  }
  return kIo;
}

FrontEnd::FrontEnd(event_base* base, const Config& config, const Settings& settings, std::size_t most,
                   core::RequestNumbers* serials, core::SubmitInput post)
    : base_(base),
      config_(config),
      settings_(settings),
      most_(most),
      serials_(serials),
      post_(std::move(post)),
      resume_(loop::MakeTimer(base, [this] {
        if (clients_.size() >= most_ && !MakeRoom()) {
          return Pause();
        }
        evconnlistener_enable(listener_.get());
      })) {
  sockaddr_in address = loop::ToSocket(loop::ParseAddress(config.listen));
  listener_.reset(evconnlistener_new_bind(
      base,
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg) {
        static_cast<FrontEnd*>(arg)->OnAccept(fd);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
      reinterpret_cast<sockaddr*>(&address), sizeof address));
  if (!listener_) {
    throw std::runtime_error("cannot listen at " + config.listen + ": " + std::strerror(errno));
  }
  evconnlistener_set_error_cb(listener_.get(),
                              [](evconnlistener*, void* arg) { static_cast<FrontEnd*>(arg)->Pause(); });
  socklen_t length = sizeof address;
  getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&address), &length);
  port_ = ntohs(address.sin_port);
}

FrontEnd::~FrontEnd() = default;

// Out of descriptors: the listener stays readable, so it rests instead of spinning.
void FrontEnd::Pause() {
  if (!listener_) {
    return;
  }
  evconnlistener_disable(listener_.get());
  resume_.Start(kAcceptAgain);
}

void FrontEnd::OnAccept(evutil_socket_t fd) {
  auto client = std::make_unique<Client>(config_.exports);
  client->owner = this;
  client->number = next_client_++;
  client->since = core::Now();
  client->stream.reset(bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE));
  if (!client->stream) {
    close(fd);
    return;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);  // devices on poor links vanish without a word
  Client* c = client.get();
  // A handshake that stalls, at whatever byte, ends with this timer and leaves nothing behind.
  c->handshake = loop::MakeTimer(base_, [c] { c->owner->End(*c); });
  c->handshake.Start(config_.handshake_timeout);
  // So does a command: a client that stops inside of one would be waited for as long as it likes.
  c->unfinished = loop::MakeTimer(base_, [c] { c->owner->End(*c); });
  bufferevent_setcb(
      c->stream.get(),
      [](bufferevent*, void* arg) {
        auto* self = static_cast<Client*>(arg);
        self->owner->OnRead(*self);
      },
      [](bufferevent*, void* arg) {  // all is written
        auto* self = static_cast<Client*>(arg);
        bufferevent_enable(self->stream.get(), EV_READ);
        self->owner->OnRead(*self);
      },
      [](bufferevent*, short what, void* arg) {
        auto* self = static_cast<Client*>(arg);
        if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
          self->owner->End(*self);
        }
      },
      c);
  clients_[c->number] = std::move(client);
  if (on_accept) {
    on_accept(c->stream.get());
  }
  bufferevent_enable(c->stream.get(), EV_READ | EV_WRITE);
  Write(*c, Greeting());
  if (clients_.size() >= most_ && !MakeRoom()) {
    Pause();
  }
}

// Guards usual clients against floods: the client goes that has been in its handshake the longest, or else
// has asked nothing since. One that has asked is not ended while others may wait: a device is mounted on it.
bool FrontEnd::MakeRoom() {
  const Time now = core::Now();
  Client* best = nullptr;
  for (const auto& [number, c] : clients_) {
    if (c->asked || now - c->since < (c->session.chosen() ? kSilent : kSettle)) {
      continue;
    }
    const bool better =
        best == nullptr || (c->session.chosen() == nullptr && best->session.chosen() != nullptr) ||
        ((c->session.chosen() == nullptr) == (best->session.chosen() == nullptr) && c->since < best->since);
    if (better) {
      best = c.get();
    }
  }
  if (best) {
    End(*best);
  }
  return best != nullptr;
}

void FrontEnd::Write(Client& client, const std::string& bytes) {
  if (!bytes.empty()) {
    bufferevent_write(client.stream.get(), bytes.data(), bytes.size());
  }
}

// Reads on only while there is room for more of the client's commands and answers: both are bounded.
void FrontEnd::OnRead(Client& client) {
  evbuffer* input = bufferevent_get_input(client.stream.get());
  if (client.closing) {
    evbuffer_drain(input, evbuffer_get_length(input));
    return;
  }
  while (!client.session.ended() && evbuffer_get_length(input) > 0) {
    if (client.in_flight.size() >= kMostInFlight ||
        evbuffer_get_length(bufferevent_get_output(client.stream.get())) > kMostUnread) {
      bufferevent_disable(client.stream.get(), EV_READ);
      client.unfinished.Stop();  // the wait is ours
      client.waiting = false;
      return;
    }
    char bytes[4096];
    const int size = evbuffer_remove(input, bytes, sizeof bytes);
    if (size <= 0) {
      break;
    }
    std::string out;
    std::vector<Request> requests;
    client.session.Feed({bytes, static_cast<std::size_t>(size)}, &out, &requests);
    Write(client, out);
    if (client.session.chosen()) {
      client.handshake.Stop();
    }
    for (Request& request : requests) {
      Take(client, std::move(request));
    }
    const bool waiting = client.session.unfinished();
    if (waiting && (!client.waiting || !requests.empty())) {
      client.unfinished.Start(kWhole);
    }
    if (!waiting) {
      client.unfinished.Stop();
    }
    client.waiting = waiting;
  }
  EndIfIdle(client);
}

void FrontEnd::Take(Client& client, Request request) {
  const Export& chosen = *client.session.chosen();
  const Volume& volume = config_.volumes[&chosen - config_.exports.data()];
  const std::uint64_t cookie = request.cookie;
  client.asked = true;
  const auto refuse = [&](Error error, const char* why) {
    std::string out;
    client.session.Reply(cookie, error, why, &out);
    Write(client, out);
  };
  if (draining_) {
    return refuse(kShutdown, "the initiator ends");
  }
  const auto cls = config_.classes.find(request.type);
  if (cls == config_.classes.end()) {
    return refuse(kInvalid, "unknown command");
  }
  if (request.flags != 0) {
    return refuse(kInvalid, "unknown flags");
  }
  if (client.in_flight.contains(cookie)) {
    return refuse(kInvalid, "the cookie is in use");
  }
  if (request.type != kFlush) {
    if (request.length == 0) {
      return refuse(kInvalid, "no length");
    }
    if (request.oversized || request.length > chosen.largest) {
      return refuse(kOverflow, "too long");
    }
    if (request.offset > chosen.size || request.length > chosen.size - request.offset) {
      return refuse(request.type == kWrite ? kNoSpace : kInvalid, "past the end");
    }
  } else if (request.length != 0 || request.offset != 0) {
    return refuse(kInvalid, "a flush has no range");
  }
  core::RequestReceived arrived;
  arrived.request = serials_->next++;
  arrived.protocol = core::Protocol::kNbd;
  arrived.attributes.request_class = cls->second;
  arrived.attributes.plan = volume.plan;
  arrived.attributes.volume = volume.volume;
  arrived.attributes.key = volume.volume + "/" + std::to_string(request.offset);
  arrived.attributes.units = UnitsOf(config_, request.length);
  // A write of a checksummed export goes into the journal and later in place: the box does it twice.
  if (volume.checksummed && request.type == kWrite) {
    arrived.attributes.units = std::min(2 * arrived.attributes.units, settings_.max_request_units);
  }
  arrived.attributes.shard = volume.shard;
  arrived.attributes.initiator_count = volume.initiator_count;
  const Time patience = settings_.classes[cls->second].deadline;
  arrived.deadline = core::Now() + patience;
  auto payload = std::make_shared<CommandPayload>();
  payload->request = std::move(request);
  payload->remote = volume.remote;
  if (volume.checksummed) {
    payload->volume = static_cast<int>(&volume - config_.volumes.data());
  }
  arrived.payload = std::move(payload);
  client.in_flight[cookie] = arrived.request;
  const core::RequestNumber serial = arrived.request;
  Held& held = held_[serial];
  held.client = client.number;
  held.cookie = cookie;
  held.deadline = loop::MakeTimer(base_, [this, serial] { post_(core::DeadlineExpired{serial}); });
  held.came = core::Now();
  held.until = arrived.deadline + kDeadlineGuard;
  held.deadline.Start((end_ > 0 ? std::min(held.until, end_) : held.until) - core::Now());
  post_(std::move(arrived));
}

void FrontEnd::Respond(const core::Response& answer) {
  const auto at = held_.find(answer.request);
  if (at == held_.end()) {
    return;  // the client has left
  }
  Client& client = *clients_.at(at->second.client);
  const std::uint64_t cookie = at->second.cookie;
  last_answers_.OnResponse(core::Now() - at->second.came);
  held_.erase(at);
  client.in_flight.erase(cookie);
  std::string out;
  if (answer.status == core::ResponseStatus::kServed) {
    const auto& pieces = static_cast<const ReplyPayload&>(*answer.payload).pieces;
    if (pieces.empty()) {
      client.session.Reply(cookie, kOk, "", &out);
    } else {
      client.session.Reply(cookie, pieces, &out);
    }
  } else {
    const std::string why = answer.status == core::ResponseStatus::kRejected
                                ? "refused: come back in " + HoldOff(answer.retry_after)
                            : answer.status == core::ResponseStatus::kTimedOut ? "timed out"
                                                                               : "failed";
    const auto* partial = static_cast<const ReplyPayload*>(answer.payload.get());
    if (partial && !partial->bad.empty()) {
      client.session.Reply(cookie, partial->pieces, partial->bad, &out);
    } else {
      client.session.Reply(cookie, ErrorOf(answer.status), why, &out);
    }
  }
  Write(client, out);
  bufferevent_enable(client.stream.get(), EV_READ);
  OnRead(client);  // what had to wait for room
}

// A client that said goodbye, or sent what is no NBD, gets no further answers; nor is one kept at the end.
void FrontEnd::EndIfIdle(Client& client) {
  if (client.session.ended()) {
    if (evbuffer_get_length(bufferevent_get_output(client.stream.get())) == 0) {
      return End(client);
    }
    return client.handshake.Start(config_.handshake_timeout);  // it may never read what is left for it
  }
  if (!draining_ || client.closing || !client.in_flight.empty() || client.session.unfinished() ||
      evbuffer_get_length(bufferevent_get_output(client.stream.get())) > 0) {
    return;
  }
  client.closing = true;
  client.handshake.Stop();
  shutdown(bufferevent_getfd(client.stream.get()), SHUT_WR);
}

void FrontEnd::End(Client& client) {
  const auto at = clients_.find(client.number);
  if (at == clients_.end()) {
    return;
  }
  const std::unique_ptr<Client> gone = std::move(at->second);
  clients_.erase(at);
  for (const auto& [cookie, serial] : gone->in_flight) {
    if (held_.erase(serial) > 0) {
      post_(core::ClientClosed{serial});
    }
  }
}

bool FrontEnd::IsClientConnected(core::RequestNumber serial) {
  const auto at = held_.find(serial);
  if (at == held_.end()) {
    return false;
  }
  Client& client = *clients_.at(at->second.client);
  if (!loop::PeerHasClosed(bufferevent_getfd(client.stream.get()))) {
    return true;
  }
  End(client);
  return false;
}

void FrontEnd::SetShutdownDeadline(Time end) {
  end_ = end;
  for (auto& [serial, held] : held_) {
    if (held.until > end) {
      held.deadline.Start(end - core::Now());
    }
  }
}

// NBD has no last answer: commands that come from here on are refused unrun, and once none is in flight the
// connection is shut for writing and read until the client has closed it.
void FrontEnd::BeginGracefulShutdown(Time left) {
  if (!draining_ && last_answers_.IsLastResponse(left)) {
    draining_ = true;
    resume_.Stop();
    listener_.reset();
  }
  if (!draining_) {
    return;
  }
  std::vector<Client*> all;
  for (const auto& [number, client] : clients_) {
    all.push_back(client.get());
  }
  for (Client* client : all) {
    EndIfIdle(*client);
  }
}

}  // namespace walnutspur::nbd
