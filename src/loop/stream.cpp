#include "loop/stream.h"

#include <event2/buffer.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace walnutspur::loop {

void DisableNagle(evutil_socket_t fd) {
  const int enabled = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

StreamPtr AdoptSocket(event_base* base, evutil_socket_t fd) {
  StreamPtr stream(bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE));
  if (!stream) {
    close(fd);
  }
  return stream;
}

StreamPtr MakeClientStream(event_base* base) {
  return StreamPtr(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
}

bool Connect(bufferevent* stream, const sockaddr_in& address) {
  const auto* generic = reinterpret_cast<const sockaddr*>(&address);
  return bufferevent_socket_connect(stream, generic, sizeof address) == 0;
}

void Write(bufferevent* stream, std::string_view bytes) {
  bufferevent_write(stream, bytes.data(), bytes.size());
}

// The stream keeps the start of its output buffer frozen, so that only the stream removes bytes.
void FlushOutput(bufferevent* stream) {
  evbuffer* output = bufferevent_get_output(stream);
  evbuffer_unfreeze(output, 1);
  evbuffer_write(output, bufferevent_getfd(stream));
  evbuffer_freeze(output, 1);
}

void WriteShared(bufferevent* stream, std::shared_ptr<const void> owner, std::string_view bytes) {
  auto* held = new std::shared_ptr<const void>(std::move(owner));
  const int result = evbuffer_add_reference(
      bufferevent_get_output(stream), bytes.data(), bytes.size(),
      [](const void*, std::size_t, void* arg) { delete static_cast<std::shared_ptr<const void>*>(arg); },
      held);
  if (result != 0) {
    delete held;
  }
}

// The bytes before the range are moved out and back, by reference where they are in buffers of their own.
void RemoveOutput(bufferevent* stream, std::size_t offset, std::size_t size) {
  const std::unique_ptr<evbuffer, Deleter<evbuffer_free>> before(evbuffer_new());
  evbuffer* output = bufferevent_get_output(stream);
  evbuffer_unfreeze(output, 1);
  evbuffer_remove_buffer(output, before.get(), offset);
  evbuffer_drain(output, size);
  evbuffer_prepend_buffer(output, before.get());
  evbuffer_freeze(output, 1);
}

void PauseReading(bufferevent* stream) { bufferevent_disable(stream, EV_READ); }

void ResumeReading(bufferevent* stream) {
  bufferevent_enable(stream, EV_READ);
  bufferevent_trigger(stream, EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

void ResetOnClose(bufferevent* stream) {
  const linger reset{1, 0};
  setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
}

std::string TakeInput(bufferevent* stream) {
  evbuffer* input = bufferevent_get_input(stream);
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  return bytes;
}

std::string CopyInput(bufferevent* stream, std::size_t max_bytes) {
  std::string bytes(std::min(max_bytes, BufferedInputBytes(stream)), '\0');
  evbuffer_copyout(bufferevent_get_input(stream), bytes.data(), bytes.size());
  return bytes;
}

std::string_view FirstInputChunk(bufferevent* stream) {
  evbuffer* input = bufferevent_get_input(stream);
  const std::size_t size = evbuffer_get_contiguous_space(input);
  if (size == 0) {
    return {};
  }
  const unsigned char* bytes = evbuffer_pullup(input, static_cast<ev_ssize_t>(size));
  return {reinterpret_cast<const char*>(bytes), size};
}

void DrainInput(bufferevent* stream, std::size_t size) {
  evbuffer_drain(bufferevent_get_input(stream), size);
}

std::size_t BufferedInputBytes(const bufferevent* stream) {
  return evbuffer_get_length(bufferevent_get_input(const_cast<bufferevent*>(stream)));
}

std::size_t UnwrittenBytes(const bufferevent* stream) {
  return evbuffer_get_length(bufferevent_get_output(const_cast<bufferevent*>(stream)));
}

void ShutdownWrites(bufferevent* stream) { shutdown(bufferevent_getfd(stream), SHUT_WR); }

void Shutdown(bufferevent* stream) { shutdown(bufferevent_getfd(stream), SHUT_RDWR); }

void ClearCallbacks(bufferevent* stream) { bufferevent_setcb(stream, nullptr, nullptr, nullptr, nullptr); }

}  // namespace walnutspur::loop
