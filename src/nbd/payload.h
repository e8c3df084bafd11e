// What the core passes between the NBD front and the boxes without a look inside.
#ifndef WALNUTSPUR_NBD_PAYLOAD_H_
#define WALNUTSPUR_NBD_PAYLOAD_H_

#include <string>
#include <vector>

#include "core/engine.h"
#include "integrity/slice.h"
#include "nbd/codec.h"

namespace walnutspur::nbd {

struct CommandPayload : core::Payload {
  Request request;                     // with the cookie of the client; a box gets one of its own
  std::vector<integrity::Slice> tail;  // of a write: what follows the request's own data
  std::string remote;                  // the export at the box
  int path = 0;                        // by which of the box's addresses
  int volume = -1;                     // of the configuration, if the initiator keeps its checksums
};
struct ReplyPayload : core::Payload {
  std::vector<Piece> pieces;
  std::vector<std::uint64_t> bad;  // offsets of damaged blocks, of which nothing is in the pieces
};

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_PAYLOAD_H_
