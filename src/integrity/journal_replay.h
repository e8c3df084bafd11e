// Replay of the journal when an export is attached: which records are valid, where the journal ends, and
// which blocks have lost their newest content because a durable record is damaged. No I/O: it works on the
// bytes of the whole journal. Used on the thread of the volume's owner.
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

// The journal as it was found.
struct ReplayedJournal {
  std::deque<JournalRecord> records;  // by sequence number, without gaps
  JournalOverlay overlay;
  std::set<std::uint64_t> damaged_blocks;  // whose newest content was in a damaged record
  std::uint64_t head_offset = 0;           // where the next record goes, bytes from the start of the journal
  std::uint64_t next_sequence = 1;
  std::uint64_t used_bytes = 0;
  std::uint64_t last_first_block = 0;  // of the last record
  std::uint16_t last_block_count = 0;
  // One line if the journal cannot be replayed; the other members then hold what came before the damage.
  std::string error;
};

class JournalReplay {
 public:
  // Both must outlive the replay; `journal` is the whole ring.
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
  void SkipDamaged(const std::optional<RecordHeader>& header, const FoundRecord& successor);
  std::optional<FoundRecord> FindProofOfDurability() const;
  void MarkDamaged(std::uint64_t first_block, std::uint64_t count);
  void AddRecord(const RecordHeader& header, bool is_valid);

  const Superblock& superblock_;
  std::string_view journal_;
  std::uint64_t offset_ = 0;    // of the record that is due
  std::uint64_t sequence_ = 0;  // and its number
  std::uint64_t epoch_ = 0;     // of the last valid record
  ReplayedJournal replayed_;
};

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_JOURNAL_REPLAY_H_
