// Whether the other side of a connection has left, by what the kernel knows, read or not. Owns nothing.
#ifndef WALNUTSPUR_LOOP_PEER_H_
#define WALNUTSPUR_LOOP_PEER_H_

#include <event2/util.h>

namespace walnutspur::loop {

// Guards against a loop that is late, and against unread bytes in front of an end: both hide a client's
// leaving from whoever waits to read it.
bool PeerHasClosed(evutil_socket_t fd);

}  // namespace walnutspur::loop

#endif  // WALNUTSPUR_LOOP_PEER_H_
