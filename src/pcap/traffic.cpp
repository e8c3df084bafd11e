#include "pcap/traffic.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace walnutspur::pcap {
namespace {

constexpr std::size_t kMostOpen = 64;  // streams that are played at a time

using GetName = int (*)(int, sockaddr*, socklen_t*);

Endpoint NameOf(GetName get, int fd) {
  sockaddr_in address{};
  socklen_t length = sizeof address;
  get(fd, reinterpret_cast<sockaddr*>(&address), &length);
  return {{reinterpret_cast<const char*>(&address.sin_addr), 4}, ntohs(address.sin_port)};
}

}  // namespace

void Recorder::Attach(bufferevent* stream) {
  auto& tap = taps_[stream];
  if (tap) {
    writer_.Close(tap->id);
  }
  tap = std::make_unique<Tap>(Tap{this, stream, 0});
  const auto added = [](bool to_server) {
    return to_server ? [](evbuffer* buffer, const evbuffer_cb_info* info, void* arg) {
      auto* self = static_cast<Tap*>(arg);
      self->owner->Pass(*self, true, buffer, info->n_added);
    }
                     : [](evbuffer* buffer, const evbuffer_cb_info* info, void* arg) {
                         auto* self = static_cast<Tap*>(arg);
                         self->owner->Pass(*self, false, buffer, info->n_added);
                       };
  };
  evbuffer_add_cb(bufferevent_get_input(stream), added(true), tap.get());
  evbuffer_add_cb(bufferevent_get_output(stream), added(false), tap.get());
}

void Recorder::Pass(Tap& tap, bool to_server, evbuffer* buffer, std::size_t added) {
  if (added == 0) {
    return;
  }
  if (tap.id == 0) {
    const int fd = bufferevent_getfd(tap.stream);
    tap.id = writer_.Open(NameOf(getpeername, fd), NameOf(getsockname, fd));
  }
  // A bufferevent freezes the start of its output: copying out fails there, peeking does not.
  evbuffer_ptr from;
  evbuffer_ptr_set(buffer, &from, evbuffer_get_length(buffer) - added, EVBUFFER_PTR_SET);
  const int parts = evbuffer_peek(buffer, static_cast<ev_ssize_t>(added), &from, nullptr, 0);
  std::vector<evbuffer_iovec> found(static_cast<std::size_t>(std::max(parts, 0)));
  evbuffer_peek(buffer, static_cast<ev_ssize_t>(added), &from, found.data(), parts);
  for (const evbuffer_iovec& part : found) {
    writer_.Data(tap.id, to_server, {static_cast<const char*>(part.iov_base), part.iov_len});
  }
}

bool LooksLikeNbd(const std::string& bytes) {  // the client's flags, then an option
  return bytes.size() >= 12 && bytes.compare(0, 3, std::string(3, '\0')) == 0 &&
         bytes.compare(4, 8, "IHAVEOPT") == 0;
}

Player::Player(event_base* base, const std::vector<Stream>& streams, const AddressOf& address_of, Time quiet,
               std::function<void()> done)
    : base_(base), quiet_(quiet), step_(loop::MakeTimer(base, [this] { Next(); })), done_(std::move(done)) {
  for (const Stream& stream : streams) {
    Result& result = results_.emplace_back();
    const loop::Address address = address_of(stream);
    if (address.port == 0 || stream.to_server.bytes().empty()) {
      continue;
    }
    result.sent = stream.to_server.bytes();
    result.gap = stream.to_server.gap();
    auto play = std::make_unique<Play>();
    play->owner = this;
    play->number = results_.size() - 1;
    play->address = address;
    plays_.push_back(std::move(play));
  }
  step_.Start(0);
}

// Keeps a bounded number of streams open, in the order of the file.
void Player::Next() {
  std::erase_if(plays_, [](const auto& play) { return play->ended; });
  while (open_ < kMostOpen && next_ < plays_.size()) {
    ++open_;
    Start(*plays_[next_++]);
  }
  if (open_ == 0) {
    done_();
  }
}

void Player::Start(Play& play) {
  Play* p = &play;
  const auto end = [p] {
    if (std::exchange(p->ended, true)) {
      return;
    }
    p->stream.reset();
    p->quiet.Stop();
    --p->owner->open_;
    --p->owner->next_;
    p->owner->step_.Start(0);
  };
  p->end = end;
  p->quiet = loop::MakeTimer(base_, end);
  p->stream.reset(bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
  bufferevent_setcb(
      p->stream.get(),
      [](bufferevent* from, void* arg) {
        auto* self = static_cast<Play*>(arg);
        evbuffer* input = bufferevent_get_input(from);
        std::string bytes(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        self->owner->results_[self->number].received += bytes;
        self->quiet.Start(self->owner->quiet_);
      },
      nullptr,
      [](bufferevent*, short what, void* arg) {
        if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
          static_cast<Play*>(arg)->end();
        }
      },
      p);
  bufferevent_enable(p->stream.get(), EV_READ | EV_WRITE);
  const std::string& sent = results_[p->number].sent;
  bufferevent_write(p->stream.get(), sent.data(), sent.size());
  sockaddr_in address = loop::ToSocket(p->address);
  p->quiet.Start(quiet_);
  if (bufferevent_socket_connect(p->stream.get(), reinterpret_cast<sockaddr*>(&address), sizeof address) !=
      0) {
    p->quiet.Start(0);
  }
}

}  // namespace walnutspur::pcap
