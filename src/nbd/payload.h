// Payloads of NBD requests and responses. The scheduler thread passes them between the front end and the
// target pool as opaque data. Shared, and immutable once submitted.
#ifndef WALNUTSPUR_NBD_PAYLOAD_H_
#define WALNUTSPUR_NBD_PAYLOAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/engine.h"
#include "core/memory_account.h"
#include "integrity/slice.h"
#include "nbd/protocol.h"

namespace walnutspur::nbd {

// A client's command.
struct CommandPayload : core::Payload {
  Request request;  // with the client's cookie; each attempt is sent with a separate cookie
  std::vector<integrity::Slice> tail;  // of a write: data that follows the data in `request`
  std::string remote;                  // name of the export at the target
  int path = 0;                        // index into Target::addresses
  int volume = -1;                     // index into Config::volumes if the export is checksummed, else -1
  core::MemoryReservation memory;      // of a client's command: its data, or that of its reply
};

// The data of a read.
struct ReplyPayload : core::Payload {
  std::vector<Piece> pieces;
  std::vector<std::uint64_t> corrupt_offsets;  // offsets of corrupted blocks, which are not part of `pieces`
};

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_PAYLOAD_H_
