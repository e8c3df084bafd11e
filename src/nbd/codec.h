// Includes all of the NBD codec, which implements both sides of the protocol without sockets. Each header can
// also be included by itself:
//   protocol.h        constants, and messages as plain data
//   byte_buffer.h     integers in network byte order, and a buffer of received bytes
//   messages.h        encoding of messages
//   server_session.h  server side of a connection
//   client_session.h  client side of a connection
#ifndef WALNUTSPUR_NBD_CODEC_H_
#define WALNUTSPUR_NBD_CODEC_H_

#include "nbd/byte_buffer.h"
#include "nbd/client_session.h"
#include "nbd/messages.h"
#include "nbd/protocol.h"
#include "nbd/server_session.h"

#endif  // WALNUTSPUR_NBD_CODEC_H_
