// Assembles the structured reply to one command from its chunks. Belongs to a ClientSession, on its thread.
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

  // Bytes of data that a chunk of this type may have at most.
  std::uint64_t MaxChunkSize(std::uint16_t chunk_type) const;

  // Adds a chunk. False: the protocol forbids it as a part of this reply.
  bool Add(std::uint16_t chunk_type, std::string_view data);

  // The reply, once its last chunk has been added. A read that was not covered in full counts as an error.
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
