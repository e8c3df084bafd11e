// Defines the types that a Volume and its owner exchange: commands of clients, storage requests that the
// volume issues, and results of commands. Plain values, without an owner or a thread.
#ifndef WALNUTSPUR_INTEGRITY_VOLUME_IO_H_
#define WALNUTSPUR_INTEGRITY_VOLUME_IO_H_

#include <cstdint>
#include <string>
#include <vector>

#include "integrity/slice.h"

namespace walnutspur::integrity {

using CommandId = std::uint64_t;  // clients' commands are numbered from 1
using IoId = std::uint64_t;

// The command id of requests that the volume issues for itself.
constexpr CommandId kVolumeCommand = 0;

enum class IoKind { kRead, kWrite, kFlush };

// The purpose of a storage request, which selects the handler of its completion. kCheckpoint is a write of
// content or tags in place; kBarrier is a flush.
enum class IoPurpose { kSuperblock, kJournal, kTags, kData, kCheckpoint, kBarrier };

// A request to the storage server.
struct IoRequest {
  IoId id = 0;
  IoKind kind = IoKind::kRead;
  IoPurpose purpose = IoPurpose::kData;
  CommandId command = kVolumeCommand;
  std::uint64_t offset = 0;  // bytes from the start of the export
  std::uint32_t length = 0;  // bytes
  std::string data;          // the first bytes of a write
  std::vector<Slice> tail;   // the bytes of a write that follow `data`
  bool fua = false;          // must be durable when it completes

  // Returns all bytes of a write: `data` followed by `tail`.
  std::string AllBytes() const;
};

enum class IoStatus {
  kCompleted,
  kNotExecuted,  // the target has not received it
  kFailed        // the target may have executed it, or may execute it later
};

// A command of a client.
struct Command {
  enum class Kind { kRead, kWrite, kTrim, kFlush };
  CommandId id = 0;
  Kind kind = Kind::kRead;
  std::uint64_t offset = 0;  // bytes from the start of the volume
  std::uint32_t length = 0;  // bytes
  Slice data;                // of a write
  bool fua = false;          // a write must be durable when it completes
};

// Classification of content that does not match its tag.
enum class MismatchKind {
  kUnrecognized,     // matches neither the previous content nor that of a block with a cached tag
  kPreviousContent,  // the content before the last write: a lost write or a stale read
  kOtherBlock,       // the content of another block: a misdirected write
  kTagsUnreadable,   // the block's tag cannot be read, so its content cannot be verified
  kRecordCorrupt     // the block's newest content was in a journal record that is corrupt
};

struct CorruptBlock {
  std::uint64_t block = 0;
  MismatchKind mismatch = MismatchKind::kUnrecognized;
  std::uint32_t data_sum = 0;     // DataSum of the content that was read
  std::uint64_t owner_block = 0;  // kOtherBlock: the block whose content was read
  bool operator==(const CorruptBlock&) const = default;
};

struct CommandResult {
  enum class Status {
    kCompleted,
    kRejected,  // no part of the command was executed
    kFailed,    // a write may have been executed
    // A read met corrupt blocks; a write was not executed because it would have preserved part of one.
    kCorrupted
  };
  CommandId id = 0;
  Status status = Status::kCompleted;
  std::string data;  // of a read; corrupt blocks are zeros in it and must not be passed on
  std::vector<CorruptBlock> corrupt_blocks;
};

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_VOLUME_IO_H_
