// What the core passes between the NBD front and the boxes without a look inside.
#ifndef WALNUTSPUR_NBD_PAYLOAD_H_
#define WALNUTSPUR_NBD_PAYLOAD_H_

#include <string>
#include <vector>

#include "core/engine.h"
#include "nbd/codec.h"

namespace walnutspur::nbd {

struct CommandPayload : core::Payload {
  Request request;     // with the cookie of the client; a box gets one of its own
  std::string remote;  // the export at the box
};
struct ReplyPayload : core::Payload {
  std::vector<Piece> pieces;
};

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_PAYLOAD_H_
