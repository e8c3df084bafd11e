// Encodes a server's replies to commands, in the form that the connection has negotiated. No state; any
// thread.
#ifndef WALNUTSPUR_NBD_REPLY_ENCODER_H_
#define WALNUTSPUR_NBD_REPLY_ENCODER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "nbd/protocol.h"

namespace walnutspur::nbd {

// The form of replies.
enum class ReplyForm { kSimple, kStructured };

// The data of a read. A simple reply has holes written out as zeros.
void EncodeData(ReplyForm form, std::uint64_t cookie, const std::vector<Piece>& pieces, std::string* out);

// A reply without data; `message` says why, where the form has room for it.
void EncodeStatus(ReplyForm form, std::uint64_t cookie, Error error, const std::string& message,
                  std::string* out);

// A read of a range with corrupted blocks: the good pieces, and an error with the offset of each bad block. A
// simple reply holds an error and no data.
void EncodePartialData(ReplyForm form, std::uint64_t cookie, const std::vector<Piece>& pieces,
                       const std::vector<std::uint64_t>& corrupt_offsets, std::string* out);

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_REPLY_ENCODER_H_
