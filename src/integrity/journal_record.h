// Defines journal records in memory, which exist until a checkpoint has written their content in place, and
// the overlay: the content of blocks that is newer in the journal than in place.
//
// The overlay is owned by VolumeContext; used on the thread of the volume's owner.
#ifndef WALNUTSPUR_INTEGRITY_JOURNAL_RECORD_H_
#define WALNUTSPUR_INTEGRITY_JOURNAL_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

#include "integrity/layout.h"
#include "integrity/slice.h"
#include "integrity/volume_io.h"

namespace walnutspur::integrity {

// A version of a block's content that is in the journal but not in place yet.
struct BlockVersion {
  std::uint64_t sequence = 0;  // of its record
  Tag tag;
  Slice data;  // empty: the block is a hole
};

struct JournalRecord {
  enum class State {
    kWriting,
    kWritten,
    kVoid  // replaced by a record without blocks, or corrupt according to the replay
  };
  std::uint64_t sequence = 0;
  std::uint64_t offset = 0;  // bytes from the start of the journal
  std::uint64_t first_block = 0;
  std::uint32_t size = 0;  // bytes
  CommandId command = kVolumeCommand;
  State state = State::kWriting;
  bool write_failed = false;  // a void record replaces it
  bool write_in_flight = true;
  std::vector<BlockVersion> versions;  // of adjoining blocks; moved to the overlay once acknowledged
};

class JournalOverlay {
 public:
  using Versions = std::vector<BlockVersion>;  // oldest first

  // Returns the newest version of a block, or null if the block is up to date in place.
  const BlockVersion* Newest(std::uint64_t block) const;
  void Add(std::uint64_t block, BlockVersion version) { versions_[block].push_back(std::move(version)); }
  // Removes all versions of a block whose newest content is unrecoverable.
  void Erase(std::uint64_t block) { versions_.erase(block); }
  // Removes the versions of a block up to this record, since they are in place now. The block must have at
  // least one version.
  void EraseUpTo(std::uint64_t block, std::uint64_t sequence);

  const std::unordered_map<std::uint64_t, Versions>& blocks() const { return versions_; }

 private:
  std::unordered_map<std::uint64_t, Versions> versions_;  // by block
};

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_JOURNAL_RECORD_H_
