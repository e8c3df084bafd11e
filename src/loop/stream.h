// A stream: a socket with libevent's buffers (bufferevent). RAII, socket options, callbacks, buffer lengths.
//
// Owned by the connection that it carries; a stream belongs to the thread of its event loop.
#ifndef WALNUTSPUR_LOOP_STREAM_H_
#define WALNUTSPUR_LOOP_STREAM_H_

#include <event2/bufferevent.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "loop/address.h"
#include "loop/loop.h"

namespace walnutspur::loop {

using StreamPtr = std::unique_ptr<bufferevent, Deleter<bufferevent_free>>;

// Sends small messages at once (TCP_NODELAY): each is a complete request or response.
void DisableNagle(evutil_socket_t fd);

// A stream on an accepted socket, which it closes when freed. Null where it cannot be made; the socket is
// closed then.
StreamPtr AdoptSocket(event_base* base, evutil_socket_t fd);

// A stream without a socket, for Connect. Its callbacks are deferred: they run from the loop, never from
// within a call on the stream.
StreamPtr MakeClientStream(event_base* base);

// Begins to connect; whether it has begun. The result comes as an event.
bool Connect(bufferevent* stream, const sockaddr_in& address);

void Write(bufferevent* stream, std::string_view bytes);

// Takes all bytes that have been read into the stream's buffer.
std::string TakeInput(bufferevent* stream);

// The first piece of what has been read that lies in one part of memory, left in place; empty if there is
// nothing. Valid until the stream is read, drained or returns to the loop.
std::string_view FirstInputChunk(bufferevent* stream);

// Drops the first bytes of what has been read.
void DrainInput(bufferevent* stream, std::size_t size);

// Bytes that were read from the socket and not taken yet.
std::size_t BufferedInputBytes(const bufferevent* stream);

// Bytes that were written to the stream and that the kernel has not taken yet.
std::size_t UnwrittenBytes(const bufferevent* stream);

// Ends our side of the connection: the peer reads an end of stream and may still send.
void ShutdownWrites(bufferevent* stream);

// Calls `handler->OnReadable()`, `handler->OnEvent(EventMask)` and, where the handler has it,
// `handler->OnWritten()` once the output buffer has drained. The handler must outlive the stream, or the
// callbacks must be cleared first.
template <typename Handler>
void SetCallbacks(bufferevent* stream, Handler* handler) {
  bufferevent_data_cb on_written = nullptr;
  if constexpr (requires { handler->OnWritten(); }) {
    on_written = [](bufferevent*, void* arg) { static_cast<Handler*>(arg)->OnWritten(); };
  }
  bufferevent_setcb(
      stream, [](bufferevent*, void* arg) { static_cast<Handler*>(arg)->OnReadable(); }, on_written,
      [](bufferevent*, EventMask events, void* arg) { static_cast<Handler*>(arg)->OnEvent(events); },
      handler);
}

void ClearCallbacks(bufferevent* stream);

}  // namespace walnutspur::loop

#endif  // WALNUTSPUR_LOOP_STREAM_H_
