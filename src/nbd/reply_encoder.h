// Encodes a server's replies to commands in the form that the connection has negotiated. No state; usable
// from any thread.
#ifndef WALNUTSPUR_NBD_REPLY_ENCODER_H_
#define WALNUTSPUR_NBD_REPLY_ENCODER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "nbd/protocol.h"

namespace walnutspur::nbd {

enum class ReplyForm { kSimple, kStructured };

// Appends the reply to a successful read. A simple reply has holes expanded to zeros.
void EncodeData(ReplyForm form, std::uint64_t cookie, const std::vector<Piece>& pieces, std::string* out);

// Appends a reply without data. `message` describes the error; a simple reply does not contain it.
void EncodeStatus(ReplyForm form, std::uint64_t cookie, Error error, const std::string& message,
                  std::string* out);

// Appends the reply to a read of a range with corrupted blocks: the intact pieces, and an error with the
// offset of each corrupted block. A simple reply contains the error and no data.
void EncodePartialData(ReplyForm form, std::uint64_t cookie, const std::vector<Piece>& pieces,
                       const std::vector<std::uint64_t>& corrupt_offsets, std::string* out);

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_REPLY_ENCODER_H_
