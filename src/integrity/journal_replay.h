// Class JournalReplay replays the journal when an export is attached. It determines which records are valid,
// where the journal ends, and which blocks are unrecoverable because a durable record is corrupt. No I/O: it
// works on the bytes of the complete journal. Called by Volume, on the thread of its owner.
//
// The replay follows sequence numbers from the tail. Failures and their guards:
// - A crash cut a record off, or reordered writes left it out. It was not acknowledged, nor was any after it
//   (journal.h): the replay ends before it and its space is reused.
// - An earlier replay discarded a record, whose bytes are still in the ring, and a later process reused its
//   sequence number. It would restore old content. Epochs never decrease along the journal, and the tail has
//   one as well (Superblock::tail_epoch): a record of an earlier epoch than its predecessor's is not
//   replayed.
// - A record that was durable is corrupt. Ending the replay there would silently restore old content of
//   acknowledged writes. A later record whose header names the corrupt one as durable proves that no crash
//   cut it off: its blocks are reported as unrecoverable and the replay continues. If its own header is
//   corrupt, the next header names its blocks; if that is corrupt too, the replay fails, since the affected
//   blocks are unknown.
#ifndef WALNUTSPUR_INTEGRITY_JOURNAL_REPLAY_H_
#define WALNUTSPUR_INTEGRITY_JOURNAL_REPLAY_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "integrity/journal_record.h"
#include "integrity/layout.h"

namespace walnutspur::integrity {

// The result of a replay.
struct ReplayedJournal {
  std::deque<JournalRecord> records;  // by sequence number, without gaps
  JournalOverlay overlay;
  std::set<std::uint64_t> unrecoverable_blocks;  // whose newest content was in a corrupt record
  std::uint64_t head_offset = 0;  // offset of the next record, bytes from the start of the journal
  std::uint64_t next_sequence = 1;
  std::uint64_t used_bytes = 0;
  std::uint64_t last_first_block = 0;  // of the last record
  std::uint16_t last_block_count = 0;
  // A one-line message if the journal cannot be replayed; the other members then describe the records before
  // the corrupt one. Otherwise empty.
  std::string error;
};

class JournalReplay {
 public:
  // Both arguments must outlive the replay; `journal` is the complete ring buffer.
  JournalReplay(const Superblock& superblock, std::string_view journal)
      : superblock_(superblock), journal_(journal) {}

  ReplayedJournal Run();

 private:
  struct FoundRecord {
    std::uint64_t offset = 0;
    RecordHeader header;
  };

  bool ReplayNext();
  std::optional<RecordHeader> NextHeader() const;
  void SkipCorruptRecord(const std::optional<RecordHeader>& header, const FoundRecord& successor);
  std::optional<FoundRecord> FindProofOfDurability() const;
  void MarkUnrecoverable(std::uint64_t first_block, std::uint64_t count);
  void AddRecord(const RecordHeader& header, bool is_valid);

  const Superblock& superblock_;
  std::string_view journal_;
  std::uint64_t offset_ = 0;    // of the next record to replay
  std::uint64_t sequence_ = 0;  // of the next record to replay
  std::uint64_t epoch_ = 0;     // of the last valid record
  ReplayedJournal replayed_;
};

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_JOURNAL_REPLAY_H_
