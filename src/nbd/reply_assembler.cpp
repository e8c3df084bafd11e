#include "nbd/reply_assembler.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "nbd/byte_buffer.h"

namespace walnutspur::nbd {
namespace {

// Sizes of the fixed-size parts of a chunk's data, in bytes.
constexpr std::size_t kOffsetSize = 8;
constexpr std::size_t kHoleSize = 12;         // offset and length
constexpr std::size_t kErrorSize = 6;         // error, length of the message
constexpr std::size_t kErrorOffsetSize = 14;  // error, length of the message, offset after the message

}  // namespace

std::uint64_t ReplyAssembler::MaxChunkSize(std::uint16_t chunk_type) const {
  if (chunk_type == kOffsetData) {
    return std::uint64_t{kOffsetSize} + length_;
  }
  return kErrorOffsetSize + kMaxStringSize;
}

bool ReplyAssembler::Add(std::uint16_t chunk_type, std::string_view data) {
  if (chunk_type == kNone) {
    return data.empty();
  }
  return chunk_type & kErrorChunkBit ? AddError(chunk_type, data) : AddData(chunk_type, data);
}

// Unknown types of error chunks are accepted too, since the protocol requires the same initial fields of all
// error chunks.
bool ReplyAssembler::AddError(std::uint16_t chunk_type, std::string_view data) {
  if (data.size() < kErrorSize) {
    return false;
  }
  FieldReader fields(data);
  const auto error = fields.Next<std::uint32_t>();
  const std::size_t message_size = fields.Next<std::uint16_t>();
  if (error == kOk || kErrorSize + message_size > data.size()) {
    return false;
  }
  if (chunk_type == kError && data.size() != kErrorSize + message_size) {
    return false;
  }
  if (chunk_type == kErrorOffset && data.size() != kErrorOffsetSize + message_size) {
    return false;
  }
  error_ = static_cast<Error>(error);
  if (chunk_type == kErrorOffset) {
    error_offsets_.push_back(Get<std::uint64_t>(data, kErrorSize + message_size));
  }
  return true;
}

bool ReplyAssembler::AddData(std::uint16_t chunk_type, std::string_view data) {
  if (!is_read() || data.size() <= kOffsetSize) {
    return false;
  }
  FieldReader fields(data);
  Piece piece;
  piece.offset = fields.Next<std::uint64_t>();
  if (chunk_type == kOffsetData) {
    piece.data = fields.rest();
  } else if (chunk_type == kOffsetHole && data.size() == kHoleSize) {
    piece.hole_bytes = fields.Next<std::uint32_t>();
  }
  if (piece.size() == 0 || !IsInRange(piece) || Overlaps(piece)) {
    return false;
  }
  pieces_.push_back(std::move(piece));
  return true;
}

bool ReplyAssembler::IsInRange(const Piece& piece) const {
  const std::uint64_t end = offset_ + length_;
  return piece.offset >= offset_ && piece.offset <= end && piece.size() <= end - piece.offset;
}

bool ReplyAssembler::Overlaps(const Piece& piece) const {
  return std::any_of(pieces_.begin(), pieces_.end(), [&](const Piece& other) {
    return piece.offset < other.offset + other.size() && other.offset < piece.offset + piece.size();
  });
}

Reply ReplyAssembler::Finish(std::uint64_t cookie) {
  std::uint64_t covered = 0;
  for (const Piece& piece : pieces_) {
    covered += piece.size();
  }
  if (error_ == kOk && is_read() && covered != length_) {
    error_ = kIo;
  }
  std::sort(pieces_.begin(), pieces_.end(),
            [](const Piece& a, const Piece& b) { return a.offset < b.offset; });
  Reply reply{cookie, error_, {}, std::move(error_offsets_), {}};
  (error_ == kOk ? reply.pieces : reply.partial) = std::move(pieces_);
  return reply;
}

}  // namespace walnutspur::nbd
