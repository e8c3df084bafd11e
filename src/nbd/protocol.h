// Constants and messages of the NBD protocol (https://github.com/NetworkBlockDevice/nbd, doc/proto.md). The
// comment of each constant or group gives its name in the specification. Plain data; usable from any thread.
#ifndef WALNUTSPUR_NBD_PROTOCOL_H_
#define WALNUTSPUR_NBD_PROTOCOL_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace walnutspur::nbd {

// Magic numbers at the start of messages.
constexpr std::uint64_t kNbdMagic = 0x4e42444d41474943;     // "NBDMAGIC"
constexpr std::uint64_t kOptionMagic = 0x49484156454F5054;  // "IHAVEOPT"
constexpr std::uint64_t kOptionReplyMagic = 0x3e889045565a9;
constexpr std::uint32_t kRequestMagic = 0x25609513;
constexpr std::uint32_t kSimpleReplyMagic = 0x67446698;
constexpr std::uint32_t kStructuredReplyMagic = 0x668e33ef;

// Sizes of the fixed-size parts of messages, in bytes.
constexpr std::size_t kGreetingSize = 18;
constexpr std::size_t kClientFlagsSize = 4;
constexpr std::size_t kOptionHeaderSize = 16;
constexpr std::size_t kOptionReplyHeaderSize = 20;
constexpr std::size_t kExportInfoSize = 10;     // the reply to NBD_OPT_EXPORT_NAME, without the zeroes
constexpr std::size_t kExportInfoZeroes = 124;  // after that reply, unless NBD_FLAG_NO_ZEROES is negotiated
constexpr std::size_t kRequestHeaderSize = 28;
constexpr std::size_t kSimpleReplyHeaderSize = 16;
constexpr std::size_t kChunkHeaderSize = 20;

// Limits of the data that a peer may send, in bytes.
constexpr std::uint32_t kMaxOptionSize = 16 * 1024;  // names have at most 4096 bytes
constexpr std::uint32_t kMaxStringSize = 4096;

// NBD_FLAG_FIXED_NEWSTYLE and NBD_FLAG_NO_ZEROES; NBD_FLAG_C_* have the same values.
constexpr std::uint16_t kFixedNewstyle = 1;
constexpr std::uint16_t kNoZeroes = 2;

// NBD_OPT_*
enum Option : std::uint32_t {
  kOptExportName = 1,
  kOptAbort = 2,
  kOptList = 3,
  kOptInfo = 6,
  kOptGo = 7,
  kOptStructuredReply = 8
};

// NBD_REP_*
enum OptionReply : std::uint32_t {
  kRepAck = 1,
  kRepServer = 2,
  kRepInfo = 3,
  kRepErrUnsupported = 0x80000001,
  kRepErrInvalid = 0x80000003,
  kRepErrUnknown = 0x80000006,
  kRepErrTooBig = 0x80000009
};

// NBD_INFO_*: the types of NBD_REP_INFO.
enum InfoType : std::uint16_t { kInfoExport = 0, kInfoBlockSize = 3 };

// NBD_CMD_*
enum Command : std::uint16_t { kRead = 0, kWrite = 1, kDisconnect = 2, kFlush = 3 };

// NBD_REPLY_TYPE_*: the types of chunks of a structured reply.
enum ChunkType : std::uint16_t {
  kNone = 0,
  kOffsetData = 1,
  kOffsetHole = 2,
  kError = 0x8001,
  kErrorOffset = 0x8002
};
constexpr std::uint16_t kErrorChunkBit = 0x8000;  // set in the types of chunks that report an error
constexpr std::uint16_t kChunkDone = 1;           // NBD_REPLY_FLAG_DONE: marks the last chunk of a reply

// NBD_E*: errors in replies, with the values of errno on Linux.
enum Error : std::uint32_t {
  kOk = 0,
  kPerm = 1,
  kIo = 5,
  kNoMemory = 12,
  kInvalid = 22,
  kNoSpace = 28,
  kOverflow = 75,
  kNotSupported = 95,
  kShutdown = 108
};

// NBD_FLAG_*: the transmission flags of an export.
constexpr std::uint16_t kHasFlags = 1;
constexpr std::uint16_t kSendFlush = 4;
constexpr std::uint16_t kSendFua = 8;
constexpr std::uint16_t kCanMultiConn = 256;

// NBD_CMD_FLAG_FUA: the write must be durable when the server replies.
constexpr std::uint16_t kFua = 1;

// An export offered by a server.
struct Export {
  std::string name;
  std::uint64_t size = 0;  // bytes
  std::uint32_t max_command_bytes = 0;
  std::uint16_t flags = kHasFlags | kSendFlush;
};

// A command of the transmission phase.
struct Request {
  std::uint16_t flags = 0;
  std::uint16_t type = 0;  // a Command, or an unknown value
  std::uint64_t cookie = 0;
  std::uint64_t offset = 0;
  std::uint32_t length = 0;
  std::string data;        // of a write
  bool oversized = false;  // a write longer than Export::max_command_bytes; its data was discarded
};

// One range of the data that a read returns: either bytes or a hole.
struct Piece {
  std::uint64_t offset = 0;
  std::string data;
  std::uint32_t hole_bytes = 0;  // if not 0: number of zero bytes, and `data` is empty
  std::uint64_t size() const { return hole_bytes > 0 ? hole_bytes : data.size(); }
};

// Appends the bytes of a piece; a hole is expanded to zeros.
inline void AppendBytes(const Piece& piece, std::string* out) {
  if (piece.hole_bytes > 0) {
    out->append(piece.hole_bytes, '\0');
  } else {
    out->append(piece.data);
  }
}

// A complete reply received by a client.
struct Reply {
  std::uint64_t cookie = 0;
  Error error = kOk;
  std::vector<Piece> pieces;  // of a read: the complete range in order; empty in case of an error
  std::vector<std::uint64_t> error_offsets;  // offsets for which the server reported errors
  std::vector<Piece> partial;                // data received along with an error
};

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_PROTOCOL_H_
