// Class Journal manages the journal of one volume: a ring buffer on the target in which every write is
// recorded before it is acknowledged. It appends records, tracks which of them are written, acknowledged and
// durable, and frees them after a checkpoint. CommandExecutor appends and acknowledges, Checkpointer frees.
//
// Failures and their guards:
// - The process crashes with records in flight, which the target executes in any order. A replay ends at the
//   first record that is missing, so a record after it would disappear although its write was acknowledged.
//   Records are therefore acknowledged in order of their sequence numbers only.
// - The write of a record fails with an unknown result: the record may be in the ring or not, and its command
//   was reported as failed. Were later records acknowledged, a replay would end before them or execute the
//   failed command. A void record, without blocks, is written in its place and has to complete first.
// - A record that was durable is corrupt when it is replayed, which looks like a record cut off by a crash.
//   Each header names the last record that was durable when it was written, which JournalReplay uses.
//
// Owned by VolumeContext; used on the thread of the volume's owner.
#ifndef WALNUTSPUR_INTEGRITY_JOURNAL_H_
#define WALNUTSPUR_INTEGRITY_JOURNAL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "integrity/io_queue.h"
#include "integrity/journal_record.h"
#include "integrity/journal_replay.h"
#include "integrity/layout.h"

namespace walnutspur::integrity {

// The content of a record.
struct RecordContent {
  CommandId command = kVolumeCommand;
  std::uint64_t first_block = 0;
  bool has_data = true;                // false: the blocks become holes
  std::vector<BlockVersion> versions;  // of adjoining blocks from the first on; Append sets their sequence
};

class Journal {
 public:
  // The pointers must outlive the journal. If `durable_records` is true, each record is written with FUA, as
  // targets require whose flush covers one connection only.
  Journal(const Superblock* superblock, IoQueue* io_queue, bool durable_records)
      : superblock_(superblock), io_queue_(io_queue), durable_records_(durable_records) {}

  // Continues after the records that the replay returned.
  void Resume(const ReplayedJournal& replayed);

  bool HasSpaceFor(std::uint32_t size) const;
  // Writes a record; HasSpaceFor must be true for its size. If it does not fit before the end of the ring, a
  // filler takes the remaining space and the record goes to the start.
  void Append(RecordContent content);

  // Handles the completion of a record's write. Returns the command of a record whose write failed for the
  // first time; this command will not be acknowledged.
  std::optional<CommandId> OnWritten(std::uint64_t sequence, IoStatus status);
  // Acknowledges the next record in order if its write has ended, and returns it; returns null otherwise. The
  // pointer is valid until the next Append or Release.
  JournalRecord* AcknowledgeNext();
  // Retries the write of void records for which it failed.
  void RetryVoidRecords();

  // Handles the completion of a flush that was issued when this record was the last acknowledged one.
  void OnFlushed(std::uint64_t sequence);
  // Frees the records up to and including this one, whose content is in place.
  void Release(std::uint64_t sequence);
  // Returns the offset of the record with this number, or the offset of the next record if there is none.
  std::uint64_t OffsetOf(std::uint64_t sequence) const;

  bool empty() const { return records_.empty(); }
  std::size_t size() const { return records_.size(); }
  std::uint64_t used_bytes() const { return used_bytes_; }
  std::uint64_t acknowledged_sequence() const { return acknowledged_sequence_; }
  bool has_acknowledged_records() const {
    return !records_.empty() && acknowledged_sequence_ >= records_.front().sequence;
  }

 private:
  JournalRecord& AddRecord(std::uint32_t size);
  void AppendFiller();
  RecordHeader HeaderOf(const JournalRecord& record) const;
  void WriteRecord(JournalRecord& record, const RecordHeader& header, std::vector<Slice> data);
  const JournalRecord* Find(std::uint64_t sequence) const;
  JournalRecord* Find(std::uint64_t sequence);

  const Superblock* superblock_;
  IoQueue* io_queue_;
  bool durable_records_;
  std::deque<JournalRecord> records_;  // not in place yet, by sequence number without gaps
  std::uint64_t head_offset_ = 0;      // offset of the next record, bytes from the start of the journal
  std::uint64_t used_bytes_ = 0;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t acknowledged_sequence_ = 0;  // all records up to this one are acknowledged
  std::uint64_t durable_sequence_ = 0;       // all records up to this one are durable
  std::uint64_t last_first_block_ = 0;       // of the record appended last
  std::uint16_t last_block_count_ = 0;
};

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_JOURNAL_H_
