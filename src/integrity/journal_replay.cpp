#include "integrity/journal_replay.h"

#include <utility>

namespace walnutspur::integrity {

ReplayedJournal JournalReplay::Run() {
  offset_ = superblock_.tail_offset;
  sequence_ = superblock_.tail_sequence;
  epoch_ = superblock_.tail_epoch;
  while (ReplayNext()) {
    offset_ = (offset_ + replayed_.records.back().size) % journal_.size();
    ++sequence_;
  }
  replayed_.head_offset = offset_;
  replayed_.next_sequence = sequence_;
  return std::move(replayed_);
}

// Adds the next record. Returns false at the end of the journal, or if the replay cannot continue.
bool JournalReplay::ReplayNext() {
  const std::optional<RecordHeader> header = NextHeader();
  if (header && RecordDataMatches(*header, journal_.substr(offset_), superblock_.export_id)) {
    epoch_ = header->epoch;
    AddRecord(*header, true);
    return true;
  }
  const std::optional<FoundRecord> successor = FindProofOfDurability();
  if (!successor) {
    return false;
  }
  SkipCorruptRecord(header, *successor);
  return replayed_.error.empty();
}

// Returns the header of the next record, or nullopt if it is corrupt, belongs to a record that an earlier
// replay discarded, or does not fit the volume.
std::optional<RecordHeader> JournalReplay::NextHeader() const {
  auto header = DecodeRecordHeader(journal_.substr(offset_), superblock_.export_id);
  if (!header) {
    return std::nullopt;
  }
  const bool is_due = header->sequence == sequence_ && header->epoch >= epoch_;
  const bool fits = offset_ + header->size <= journal_.size() &&
                    header->first_block + header->blocks.size() <= superblock_.geometry.blocks &&
                    replayed_.used_bytes + header->size < journal_.size();
  if (!is_due || !fits) {
    return std::nullopt;
  }
  return header;
}

// Replaces a corrupt record that was durable by a void one, and marks the blocks that it changed. If its
// header is corrupt, the successor's header names the blocks.
void JournalReplay::SkipCorruptRecord(const std::optional<RecordHeader>& header,
                                      const FoundRecord& successor) {
  if (header) {
    MarkUnrecoverable(header->first_block, header->blocks.size());
    AddRecord(*header, false);
    return;
  }
  const bool is_next = successor.header.sequence == sequence_ + 1 && successor.offset != offset_;
  if (!is_next) {
    replayed_.error = "the journal is corrupt from record " + std::to_string(sequence_) +
                      " on, and the affected blocks cannot be determined: format or restore the export";
    return;
  }
  const std::uint64_t end = successor.offset > offset_ ? successor.offset : journal_.size();
  RecordHeader void_record;
  void_record.sequence = sequence_;
  void_record.size = static_cast<std::uint32_t>(end - offset_);
  MarkUnrecoverable(successor.header.previous_first_block, successor.header.previous_block_count);
  AddRecord(void_record, false);
}

// Returns the earliest later record whose header names the next record as durable, which proves that the next
// record is corrupt and was not cut off by a crash; nullopt if there is none.
std::optional<JournalReplay::FoundRecord> JournalReplay::FindProofOfDurability() const {
  std::optional<FoundRecord> earliest;
  for (std::uint64_t at = 0; at + kSectorBytes <= journal_.size(); at += kSectorBytes) {
    const auto header = DecodeRecordHeader(journal_.substr(at), superblock_.export_id);
    if (!header || header->sequence <= sequence_ || header->epoch < epoch_ ||
        header->durable_sequence < sequence_) {
      continue;
    }
    if (!earliest || header->sequence < earliest->header.sequence) {
      earliest = FoundRecord{at, *header};
    }
  }
  return earliest;
}

void JournalReplay::MarkUnrecoverable(std::uint64_t first_block, std::uint64_t count) {
  const std::uint64_t end = first_block + count;
  for (std::uint64_t block = first_block; block < end && block < superblock_.geometry.blocks; ++block) {
    replayed_.overlay.Erase(block);
    replayed_.unrecoverable_blocks.insert(block);
  }
}

void JournalReplay::AddRecord(const RecordHeader& header, bool is_valid) {
  JournalRecord record;
  record.sequence = header.sequence;
  record.offset = offset_;
  record.first_block = header.first_block;
  record.size = header.size;
  record.state = is_valid ? JournalRecord::State::kWritten : JournalRecord::State::kVoid;
  record.write_in_flight = false;
  const std::string_view bytes = journal_.substr(offset_, header.size);
  for (std::size_t i = 0; is_valid && i < header.blocks.size(); ++i) {
    BlockVersion version;
    version.sequence = header.sequence;
    version.tag = {header.blocks[i].generation, header.blocks[i].sum, 0};
    if (header.has_data) {
      version.data = Own(std::string(RecordBlockData(header, bytes, i)));
    }
    replayed_.overlay.Add(header.first_block + i, std::move(version));
    replayed_.unrecoverable_blocks.erase(header.first_block + i);
  }
  replayed_.last_first_block = header.first_block;
  replayed_.last_block_count = static_cast<std::uint16_t>(header.blocks.size());
  replayed_.used_bytes += header.size;
  replayed_.records.push_back(std::move(record));
}

}  // namespace walnutspur::integrity
