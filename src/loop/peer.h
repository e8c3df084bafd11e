// What the kernel knows of a connection ahead of the event loop: bytes not read yet, and whether the peer has
// closed. Owns nothing; each call is one or two system calls on the caller's thread.
#ifndef WALNUTSPUR_LOOP_PEER_H_
#define WALNUTSPUR_LOOP_PEER_H_

#include <event2/util.h>

namespace walnutspur::loop {

// Whether the peer has closed its side or reset the connection. Finds it even while the loop is late, and
// behind unread bytes: both hide a disconnect from whoever waits to read it.
bool PeerHasClosed(evutil_socket_t fd);

// Whether a read would return at once with bytes or an end of stream; an error on the socket is not input.
bool HasPendingInput(evutil_socket_t fd);

// Whether bytes wait in the kernel to be read; an end of stream is none.
bool HasUnreadBytes(evutil_socket_t fd);

}  // namespace walnutspur::loop

#endif  // WALNUTSPUR_LOOP_PEER_H_
