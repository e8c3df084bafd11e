#include "nbd/reply_encoder.h"

#include <algorithm>
#include <cstddef>

#include "nbd/byte_buffer.h"
#include "nbd/messages.h"

namespace walnutspur::nbd {
namespace {

const char* const kCorruptBlockMessage = "the block is damaged";

void EncodeSimpleData(std::uint64_t cookie, const std::vector<Piece>& pieces, std::string* out) {
  PutSimple(kOk, cookie, out);
  for (const Piece& piece : pieces) {
    AppendBytes(piece, out);
  }
}

void EncodePiece(bool done, std::uint64_t cookie, const Piece& piece, std::string* out) {
  std::string data;
  Put(piece.offset, &data);
  if (piece.hole_bytes > 0) {
    Put(piece.hole_bytes, &data);
  }
  data += piece.data;
  PutChunk(done, piece.hole_bytes > 0 ? kOffsetHole : kOffsetData, cookie, data, out);
}

void EncodeBadBlock(bool done, std::uint64_t cookie, std::uint64_t offset, std::string* out) {
  const std::string message = kCorruptBlockMessage;
  std::string data;
  Put<std::uint32_t>(kIo, &data);
  Put(static_cast<std::uint16_t>(message.size()), &data);
  data += message;
  Put(offset, &data);
  PutChunk(done, kErrorOffset, cookie, data, out);
}

}  // namespace

void EncodeData(ReplyForm form, std::uint64_t cookie, const std::vector<Piece>& pieces, std::string* out) {
  if (form == ReplyForm::kSimple) {
    EncodeSimpleData(cookie, pieces, out);
    return;
  }
  for (std::size_t i = 0; i < pieces.size(); ++i) {
    EncodePiece(i + 1 == pieces.size(), cookie, pieces[i], out);
  }
  if (pieces.empty()) {
    PutChunk(true, kNone, cookie, "", out);
  }
}

void EncodeStatus(ReplyForm form, std::uint64_t cookie, Error error, const std::string& message,
                  std::string* out) {
  if (form == ReplyForm::kSimple) {
    PutSimple(error, cookie, out);
    return;
  }
  if (error == kOk) {
    PutChunk(true, kNone, cookie, "", out);
    return;
  }
  std::string data;
  Put<std::uint32_t>(error, &data);
  Put(static_cast<std::uint16_t>(std::min<std::size_t>(message.size(), kMaxStringSize)), &data);
  data.append(message, 0, kMaxStringSize);
  PutChunk(true, kError, cookie, data, out);
}

void EncodePartialData(ReplyForm form, std::uint64_t cookie, const std::vector<Piece>& pieces,
                       const std::vector<std::uint64_t>& corrupt_offsets, std::string* out) {
  if (form == ReplyForm::kSimple) {
    PutSimple(kIo, cookie, out);
    return;
  }
  for (const Piece& piece : pieces) {  // never holes, since verified data is stored as bytes
    std::string data;
    Put(piece.offset, &data);
    data += piece.data;
    PutChunk(false, kOffsetData, cookie, data, out);
  }
  for (std::size_t i = 0; i < corrupt_offsets.size(); ++i) {
    EncodeBadBlock(i + 1 == corrupt_offsets.size(), cookie, corrupt_offsets[i], out);
  }
}

}  // namespace walnutspur::nbd
