#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>

#include "pcap/traffic.h"

namespace walnutspur::pcap {
namespace {

using GetName = int (*)(int, sockaddr*, socklen_t*);  // getsockname or getpeername

Endpoint EndpointOf(GetName get_name, int fd) {
  sockaddr_in address{};
  socklen_t length = sizeof address;
  get_name(fd, reinterpret_cast<sockaddr*>(&address), &length);
  return {{reinterpret_cast<const char*>(&address.sin_addr), sizeof address.sin_addr},
          ntohs(address.sin_port)};
}

}  // namespace

void Recorder::Attach(bufferevent* stream) {
  auto& tap = taps_[stream];
  if (tap) {
    writer_.Close(tap->id);
  }
  tap = std::make_unique<Tap>(Tap{this, stream, 0});
  const auto on_received = [](evbuffer* buffer, const evbuffer_cb_info* info, void* arg) {
    auto* self = static_cast<Tap*>(arg);
    self->owner->Record(*self, true, buffer, info->n_added);
  };
  const auto on_sent = [](evbuffer* buffer, const evbuffer_cb_info* info, void* arg) {
    auto* self = static_cast<Tap*>(arg);
    self->owner->Record(*self, false, buffer, info->n_added);
  };
  evbuffer_add_cb(bufferevent_get_input(stream), on_received, tap.get());
  evbuffer_add_cb(bufferevent_get_output(stream), on_sent, tap.get());
}

// Uses evbuffer_peek, since a bufferevent freezes the start of its output buffer, which makes
// evbuffer_copyout fail.
void Recorder::Record(Tap& tap, bool to_server, evbuffer* buffer, std::size_t added) {
  if (added == 0) {
    return;
  }
  if (tap.id == 0) {
    const int fd = bufferevent_getfd(tap.stream);
    tap.id = writer_.Open(EndpointOf(getpeername, fd), EndpointOf(getsockname, fd));
  }
  const auto size = static_cast<ev_ssize_t>(added);
  evbuffer_ptr start;
  evbuffer_ptr_set(buffer, &start, evbuffer_get_length(buffer) - added, EVBUFFER_PTR_SET);
  const int count = evbuffer_peek(buffer, size, &start, nullptr, 0);
  std::vector<evbuffer_iovec> parts(static_cast<std::size_t>(std::max(count, 0)));
  evbuffer_peek(buffer, size, &start, parts.data(), count);
  for (const evbuffer_iovec& part : parts) {
    writer_.Data(tap.id, to_server, {static_cast<const char*>(part.iov_base), part.iov_len});
  }
}

}  // namespace walnutspur::pcap
