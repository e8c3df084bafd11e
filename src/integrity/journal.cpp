#include "integrity/journal.h"

#include <algorithm>
#include <utility>

namespace walnutspur::integrity {

void Journal::Resume(const ReplayedJournal& replayed) {
  records_ = replayed.records;
  head_offset_ = replayed.head_offset;
  used_bytes_ = replayed.used_bytes;
  next_sequence_ = replayed.next_sequence;
  acknowledged_sequence_ = replayed.next_sequence - 1;
  durable_sequence_ = superblock_->tail_sequence - 1;
  last_first_block_ = replayed.last_first_block;
  last_block_count_ = replayed.last_block_count;
}

bool Journal::HasSpaceFor(std::uint32_t size) const {
  const std::uint64_t capacity = superblock_->geometry.journal_size;
  const std::uint64_t skipped = head_offset_ + size > capacity ? capacity - head_offset_ : 0;
  return used_bytes_ + skipped + size < capacity;
}

void Journal::Append(RecordContent content) {
  const std::uint32_t size = RecordSize(content.versions.size(), content.has_data);
  if (head_offset_ + size > superblock_->geometry.journal_size) {
    AppendFiller();
  }
  JournalRecord& record = AddRecord(size);
  record.command = content.command;
  record.first_block = content.first_block;
  record.versions = std::move(content.versions);
  std::vector<Slice> data;
  for (BlockVersion& version : record.versions) {
    version.sequence = record.sequence;
    if (content.has_data) {
      AppendSlice(&data, version.data);
    }
  }
  RecordHeader header = HeaderOf(record);
  header.has_data = content.has_data;
  last_first_block_ = record.first_block;
  last_block_count_ = static_cast<std::uint16_t>(record.versions.size());
  WriteRecord(record, header, std::move(data));
}

// Fills the ring up to its end with a record without blocks.
void Journal::AppendFiller() {
  const std::uint64_t remaining = superblock_->geometry.journal_size - head_offset_;
  JournalRecord& filler = AddRecord(static_cast<std::uint32_t>(remaining));
  WriteRecord(filler, HeaderOf(filler), {});
  last_first_block_ = 0;
  last_block_count_ = 0;
}

JournalRecord& Journal::AddRecord(std::uint32_t size) {
  JournalRecord record;
  record.sequence = next_sequence_++;
  record.offset = head_offset_;
  record.size = size;
  head_offset_ = (head_offset_ + size) % superblock_->geometry.journal_size;
  used_bytes_ += size;
  records_.push_back(std::move(record));
  return records_.back();
}

RecordHeader Journal::HeaderOf(const JournalRecord& record) const {
  RecordHeader header;
  header.sequence = record.sequence;
  header.epoch = superblock_->epoch;
  header.durable_sequence = durable_sequence_;
  header.first_block = record.first_block;
  header.size = record.size;
  header.previous_first_block = last_first_block_;
  header.previous_block_count = last_block_count_;
  for (const BlockVersion& version : record.versions) {
    header.blocks.push_back({version.tag.generation, version.tag.sum});
  }
  return header;
}

void Journal::WriteRecord(JournalRecord& record, const RecordHeader& header, std::vector<Slice> data) {
  record.write_in_flight = true;
  IoRequest request;
  request.kind = IoKind::kWrite;
  request.purpose = IoPurpose::kJournal;
  request.command = record.write_failed ? kVolumeCommand : record.command;
  request.offset = superblock_->geometry.journal_offset + record.offset;
  request.data = Encode(header, "", superblock_->export_id);
  request.length = static_cast<std::uint32_t>(request.data.size());
  for (const Slice& slice : data) {
    request.length += static_cast<std::uint32_t>(slice.bytes.size());
  }
  request.tail = std::move(data);
  request.fua = durable_records_;
  io_queue_->Issue(std::move(request), record.sequence);
}

std::optional<CommandId> Journal::OnWritten(std::uint64_t sequence, IoStatus status) {
  JournalRecord* record = Find(sequence);
  if (!record) {
    return std::nullopt;
  }
  record->write_in_flight = false;
  if (status == IoStatus::kCompleted) {
    record->state = record->write_failed ? JournalRecord::State::kVoid : JournalRecord::State::kWritten;
    return std::nullopt;
  }
  // A void record that fails as well is retried with the next checkpoint, not at once: a target that has
  // failed twice is probably down. Until then no later record is acknowledged.
  if (std::exchange(record->write_failed, true)) {
    return std::nullopt;
  }
  record->versions.clear();
  WriteRecord(*record, HeaderOf(*record), {});
  return record->command;
}

JournalRecord* Journal::AcknowledgeNext() {
  JournalRecord* next = Find(acknowledged_sequence_ + 1);
  if (!next || next->state == JournalRecord::State::kWriting) {
    return nullptr;
  }
  ++acknowledged_sequence_;
  if (durable_records_) {
    durable_sequence_ = acknowledged_sequence_;
  }
  return next;
}

void Journal::RetryVoidRecords() {
  for (JournalRecord& record : records_) {
    if (record.write_failed && record.state == JournalRecord::State::kWriting && !record.write_in_flight) {
      WriteRecord(record, HeaderOf(record), {});
    }
  }
}

void Journal::OnFlushed(std::uint64_t sequence) { durable_sequence_ = std::max(durable_sequence_, sequence); }

void Journal::Release(std::uint64_t sequence) {
  while (!records_.empty() && records_.front().sequence <= sequence) {
    used_bytes_ -= records_.front().size;
    records_.pop_front();
  }
}

std::uint64_t Journal::OffsetOf(std::uint64_t sequence) const {
  const JournalRecord* record = Find(sequence);
  return record ? record->offset : head_offset_;
}

const JournalRecord* Journal::Find(std::uint64_t sequence) const {
  if (records_.empty() || sequence < records_.front().sequence) {
    return nullptr;
  }
  const std::uint64_t index = sequence - records_.front().sequence;
  return index < records_.size() ? &records_[index] : nullptr;
}

JournalRecord* Journal::Find(std::uint64_t sequence) {
  return const_cast<JournalRecord*>(std::as_const(*this).Find(sequence));
}

}  // namespace walnutspur::integrity
