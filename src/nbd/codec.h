// Both sides of the NBD protocol without sockets, as one include for code that uses all of it. Each part can
// be included alone:
//   protocol.h        constants and messages as plain data
//   byte_buffer.h     integers in network byte order, received bytes
//   messages.h        encoding of messages
//   server_session.h  a connection's server side
//   client_session.h  a connection's client side
#ifndef WALNUTSPUR_NBD_CODEC_H_
#define WALNUTSPUR_NBD_CODEC_H_

#include "nbd/byte_buffer.h"
#include "nbd/client_session.h"
#include "nbd/messages.h"
#include "nbd/protocol.h"
#include "nbd/server_session.h"

#endif  // WALNUTSPUR_NBD_CODEC_H_
