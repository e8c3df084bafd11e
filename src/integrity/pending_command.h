// Struct PendingCommand describes one command in progress in a volume: the blocks it covers, the reads it
// still waits for, and the content that has been read for it. Owned by CommandExecutor; used on the thread of
// the volume's owner.
#ifndef WALNUTSPUR_INTEGRITY_PENDING_COMMAND_H_
#define WALNUTSPUR_INTEGRITY_PENDING_COMMAND_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "integrity/block_locks.h"
#include "integrity/layout.h"
#include "integrity/slice.h"
#include "integrity/volume_io.h"

namespace walnutspur::integrity {

struct PendingCommand {
  enum class Phase {
    kWaitingForLock,
    kLoading,  // tags and data are being read
    kWaitingForSpace,
    kJournaling,
    kFlushing
  };

  explicit PendingCommand(Command submitted);

  bool is_read() const { return command.kind == Command::Kind::kRead; }
  bool is_write() const { return command.kind == Command::Kind::kWrite; }
  // Returns whether the command changes blocks, and therefore needs locks on them and a journal record.
  bool changes_blocks() const { return is_write() || command.kind == Command::Kind::kTrim; }
  bool is_loaded() const { return reads_in_flight == 0 && missing_tag_blocks.empty(); }

  // Returns whether the command depends on the current content of the block: true for a read, and for a write
  // that replaces a part of the block.
  bool NeedsContentOf(std::uint64_t block) const;
  // Returns the content that was read for the block, or nullopt if it has not been read.
  std::optional<std::string_view> ContentOf(std::uint64_t block) const;
  // Returns the content that the block has after the write.
  Slice MergedContentOf(std::uint64_t block) const;
  void TakeData(std::uint64_t offset, std::string data);
  // Discards the content that has been read.
  void ClearContent();

  Command command;
  BlockRange range;
  Phase phase = Phase::kLoading;
  std::set<std::uint64_t> missing_tag_blocks;     // being read
  std::set<std::uint64_t> unreadable_tag_blocks;  // read, with an unconfirmed slot
  std::string contiguous_content;                 // of all blocks, if one read returned them
  std::map<std::uint64_t, Slice> block_content;   // by block; takes precedence over contiguous_content
  std::size_t reads_in_flight = 0;                // of data
  std::uint64_t in_place_revision = 0;            // when the data was requested
  bool abandoned = false;
  bool io_failed = false;
};

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_PENDING_COMMAND_H_
