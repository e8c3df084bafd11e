// Class ReplyAssembler assembles the structured reply to one command from its chunks. Owned by a
// ClientSession and used on its thread.
#ifndef WALNUTSPUR_NBD_REPLY_ASSEMBLER_H_
#define WALNUTSPUR_NBD_REPLY_ASSEMBLER_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "nbd/protocol.h"

namespace walnutspur::nbd {

class ReplyAssembler {
 public:
  explicit ReplyAssembler(const Request& request)
      : type_(request.type), offset_(request.offset), length_(request.length) {}

  bool is_read() const { return type_ == kRead; }
  std::uint64_t offset() const { return offset_; }
  std::uint32_t length() const { return length_; }

  // Returns the maximum number of data bytes in a chunk of this type.
  std::uint64_t MaxChunkSize(std::uint16_t chunk_type) const;

  // Adds a chunk. Returns false if the protocol does not allow the chunk in this reply.
  bool Add(std::uint16_t chunk_type, std::string_view data);

  // Returns the reply; must be called after the last chunk has been added. If the chunks do not cover the
  // complete range of a read, the reply is an error.
  Reply Finish(std::uint64_t cookie);

 private:
  bool AddError(std::uint16_t chunk_type, std::string_view data);
  bool AddData(std::uint16_t chunk_type, std::string_view data);
  bool IsInRange(const Piece& piece) const;
  bool Overlaps(const Piece& piece) const;

  std::uint16_t type_;
  std::uint64_t offset_;
  std::uint32_t length_;
  Error error_ = kOk;
  std::vector<Piece> pieces_;
  std::vector<std::uint64_t> error_offsets_;
};

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_REPLY_ASSEMBLER_H_
