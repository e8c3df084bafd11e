// Queries the kernel about a connection, independent of the event loop: whether there are unread bytes, when
// the last ones came, how many the peer has not acknowledged, and whether it has closed the connection. Each
// function makes one or two system calls on the caller's thread.
#ifndef WALNUTSPUR_LOOP_PEER_H_
#define WALNUTSPUR_LOOP_PEER_H_

#include <event2/util.h>

#include <cstddef>

#include "walnutspur/types.h"

namespace walnutspur::loop {

// Returns whether the peer has closed its side or reset the connection. Detects that even if the event loop
// is late or unread bytes precede the end of the stream; in both cases reading would not show the disconnect
// yet.
bool PeerHasClosed(evutil_socket_t fd);

// Returns whether a read would return bytes or the end of the stream at once; an error on the socket does not
// count.
bool HasPendingInput(evutil_socket_t fd);

// Returns whether the kernel holds unread bytes; the end of the stream does not count.
bool HasUnreadBytes(evutil_socket_t fd);

// Returns the time since the kernel received the last bytes from the peer, us, whether or not they have been
// read. Returns 0 for less than two ticks of the kernel's clock, and if the kernel does not report it.
Time TimeSinceLastInput(evutil_socket_t fd);

// Returns the number of bytes that were written to the socket and that the peer's kernel has not
// acknowledged. It falls while the peer reads, even if the socket takes no more bytes. Returns 0 if the
// kernel does not report it.
std::size_t UnacknowledgedBytes(evutil_socket_t fd);

}  // namespace walnutspur::loop

#endif  // WALNUTSPUR_LOOP_PEER_H_
