// Functions for streams. A stream is a socket with libevent's input and output buffers (bufferevent).
//
// Each connection owns its stream; a stream is used on the thread of its event loop only.
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

// Creates a stream that owns an accepted socket and closes it when freed. Returns null on failure, after
// closing the socket.
StreamPtr AdoptSocket(event_base* base, evutil_socket_t fd);

// Creates a stream without a socket, for Connect. Its callbacks are deferred: they are called from the event
// loop, never from within a call on the stream.
StreamPtr MakeClientStream(event_base* base);

// Starts to connect and returns whether that succeeded. The result of the connect is reported as an event.
bool Connect(bufferevent* stream, const sockaddr_in& address);

void Write(bufferevent* stream, std::string_view bytes);

// Passes buffered output of a connected stream to the kernel now, as far as the kernel takes it, instead of
// in the loop's next iteration. What is left, also after an error, is written by the loop.
void FlushOutput(bufferevent* stream);

// Writes bytes without copying them; `owner` keeps them unchanged until they are sent.
void WriteShared(bufferevent* stream, std::shared_ptr<const void> owner, std::string_view bytes);

// Stops reading, and starts it again; the read callback is then called even if no new bytes arrive.
void PauseReading(bufferevent* stream);
void ResumeReading(bufferevent* stream);

// Removes `size` bytes of the output buffer from `offset` on, counted from the first byte that the kernel has
// not accepted. They will not be sent.
void RemoveOutput(bufferevent* stream, std::size_t offset, std::size_t size);

// Makes the close of the connection a reset, so that the peer cannot take it for the end of a message.
void ResetOnClose(bufferevent* stream);

// Removes all bytes from the stream's input buffer and returns them.
std::string TakeInput(bufferevent* stream);

// Returns a copy of the first bytes of the input buffer, at most `max_bytes`, without removing them.
std::string CopyInput(bufferevent* stream, std::size_t max_bytes);

// Returns the first contiguous chunk of the input buffer without removing it; empty if the buffer is empty.
// Valid until the stream is read or drained, or control returns to the event loop.
std::string_view FirstInputChunk(bufferevent* stream);

// Discards the first `size` bytes of the input buffer.
void DrainInput(bufferevent* stream, std::size_t size);

// Returns the number of bytes in the input buffer.
std::size_t BufferedInputBytes(const bufferevent* stream);

// Returns the number of bytes in the output buffer, which the kernel has not accepted yet.
std::size_t UnwrittenBytes(const bufferevent* stream);

// Shuts down the sending side of the connection: the peer reads the end of the stream and may still send.
void ShutdownWrites(bufferevent* stream);

// Shuts down the connection in both directions at once. The stream keeps its socket until it is freed.
void Shutdown(bufferevent* stream);

// Sets the callbacks `handler->OnReadable()`, `handler->OnEvent(EventMask)` and, if the handler has this
// method, `handler->OnWritten()`, which is called when the output buffer has drained. The handler must
// outlive the stream, or the callbacks must be cleared first.
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
