#include "integrity/checkpointer.h"

#include <utility>

namespace walnutspur::integrity {
namespace {

// Returns the tag of a block whose content in place, described by `current`, is replaced by `version`.
Tag TagAfter(const Tag& current, const BlockVersion& version) {
  Tag next = version.tag;
  if (next.sum == current.sum && next.generation == current.generation) {
    next.previous_sum = current.previous_sum;
    return next;
  }
  const bool follows =
      !IsHole(current) && NextGeneration(current.generation) == (next.generation & ~kHoleFlag);
  next.previous_sum = follows ? current.sum : 0;
  return next;
}

}  // namespace

void Checkpointer::Start() {
  context_->journal.RetryVoidRecords();
  if (is_running() || !context_->journal.has_acknowledged_records()) {
    return;
  }
  target_sequence_ = context_->journal.acknowledged_sequence();
  io_failed_ = false;
  Flush(Step::kFlushingRecords);
}

void Checkpointer::Flush(Step step) {
  step_ = step;
  requests_in_flight_ = 1;
  context_->io_queue.IssueFlush(kVolumeCommand, context_->journal.acknowledged_sequence());
}

void Checkpointer::OnTagsRead(std::uint64_t index, TagReadStatus status) {
  switch (status) {
    case TagReadStatus::kLoaded:
      LoadTagBlocks();
      break;
    case TagReadStatus::kUncertain:
      context_->tag_loader.Load(index, kVolumeCommand);
      break;
    case TagReadStatus::kFailed:
      Fail();
      break;
  }
}

void Checkpointer::OnIoCompleted(IoStatus status) {
  if (status != IoStatus::kCompleted) {
    io_failed_ = true;
  }
  if (requests_in_flight_ > 0 && --requests_in_flight_ > 0) {
    return;
  }
  if (io_failed_) {
    Fail();
    return;
  }
  switch (step_) {
    case Step::kFlushingRecords:
      CollectContent();
      LoadTagBlocks();
      break;
    case Step::kWritingInPlace:
      Flush(Step::kFlushingInPlace);
      break;
    case Step::kFlushingInPlace:
      WriteSuperblock();
      break;
    case Step::kWritingSuperblock:
      Finish();
      break;
    case Step::kIdle:
    case Step::kLoadingTags:
      break;
  }
}

// Selects the newest content of each block that the first flush has made durable. Records acknowledged since
// are left out: a power cut could still lose them, and their content in place would match no tag.
void Checkpointer::CollectContent() {
  for (const auto& [block, versions] : context_->overlay.blocks()) {
    for (const BlockVersion& version : versions) {
      if (version.sequence <= target_sequence_) {
        versions_[block] = version;
      }
    }
  }
  for (const std::uint64_t block : context_->unrecoverable_blocks) {
    if (!versions_.contains(block)) {
      unknown_blocks_.insert(block);
    }
  }
}

// Continues with WriteInPlace once all tag blocks that the checkpoint changes are in memory.
void Checkpointer::LoadTagBlocks() {
  step_ = Step::kLoadingTags;
  std::set<std::uint64_t> needed;
  for (const auto& [block, version] : versions_) {
    needed.insert(TagBlockOf(block));
  }
  for (const std::uint64_t block : unknown_blocks_) {
    needed.insert(TagBlockOf(block));
  }
  bool all_loaded = true;
  for (const std::uint64_t index : needed) {
    all_loaded = LoadTagBlock(index) && all_loaded;
  }
  if (all_loaded) {
    WriteInPlace();
  }
}

// Returns whether the tag block is in memory; requests it if it is not.
bool Checkpointer::LoadTagBlock(std::uint64_t index) {
  if (tag_blocks_.contains(index)) {
    return true;
  }
  if (const TagBlock* cached = context_->tags.Find(index)) {
    tag_blocks_[index] = *cached;
    context_->tags.Pin(index);
    return true;
  }
  if (!context_->tag_loader.IsWaiting(index, kVolumeCommand)) {
    context_->tag_loader.Load(index, kVolumeCommand);
  }
  return false;
}

void Checkpointer::WriteInPlace() {
  step_ = Step::kWritingInPlace;
  ++context_->in_place_revision;
  requests_in_flight_ = 0;
  UpdateTags();
  WriteBlocks();
  WriteTagBlocks();
  if (requests_in_flight_ == 0) {
    Flush(Step::kFlushingInPlace);
  }
}

void Checkpointer::UpdateTags() {
  for (const auto& [block, version] : versions_) {
    Tag& tag = tag_blocks_.at(TagBlockOf(block)).tags[TagPositionOf(block)];
    tag = TagAfter(tag, version);
  }
  for (const std::uint64_t block : unknown_blocks_) {
    tag_blocks_.at(TagBlockOf(block)).tags[TagPositionOf(block)] = {kUnknownGeneration, 0, 0};
  }
}

// Writes adjoining blocks with one request, up to the size limit of a request.
void Checkpointer::WriteBlocks() {
  std::vector<Slice> run;
  std::uint64_t first = 0;
  std::uint64_t end = 0;
  for (const auto& [block, version] : versions_) {
    if (!version.data) {
      continue;
    }
    const bool is_full = (block + 1 - first) * kBlockBytes > context_->options.max_io_bytes;
    if (block != end || is_full) {
      WriteRun(first, std::exchange(run, {}));
      first = block;
    }
    AppendSlice(&run, version.data);
    end = block + 1;
  }
  WriteRun(first, std::move(run));
}

void Checkpointer::WriteRun(std::uint64_t first_block, std::vector<Slice> run) {
  if (run.empty()) {
    return;
  }
  IoRequest request;
  request.kind = IoKind::kWrite;
  request.purpose = IoPurpose::kCheckpoint;
  request.offset = first_block * kBlockBytes;
  for (const Slice& slice : run) {
    request.length += static_cast<std::uint32_t>(slice.bytes.size());
  }
  request.tail = std::move(run);
  ++requests_in_flight_;
  context_->io_queue.Issue(std::move(request));
}

// Writes each tag block into the slot that its version selects, so that a torn write leaves the other slot
// with the previous tags.
void Checkpointer::WriteTagBlocks() {
  for (auto& [index, tag_block] : tag_blocks_) {
    ++tag_block.version;
    const int slot = static_cast<int>(tag_block.version % 2);
    IoRequest request;
    request.kind = IoKind::kWrite;
    request.purpose = IoPurpose::kCheckpoint;
    request.offset = context_->superblock.geometry.SlotOffset(index, slot);
    request.length = kBlockBytes;
    request.data = Encode(tag_block, context_->superblock.export_id);
    ++requests_in_flight_;
    context_->io_queue.Issue(std::move(request));
  }
}

void Checkpointer::WriteSuperblock() {
  step_ = Step::kWritingSuperblock;
  requests_in_flight_ = 1;
  next_superblock_ = context_->superblock;
  next_superblock_.tail_sequence = target_sequence_ + 1;
  // The first checkpoint after a replay frees all records of earlier epochs, so that from here on only
  // records of this epoch are valid (Superblock::tail_epoch).
  next_superblock_.tail_epoch = context_->superblock.epoch;
  next_superblock_.tail_offset = context_->journal.OffsetOf(target_sequence_ + 1);
  context_->WriteSuperblock(next_superblock_);
}

void Checkpointer::Fail() {
  step_ = Step::kIdle;
  Clear();
  context_->tag_loader.RemoveWaiter(kVolumeCommand);
}

void Checkpointer::Finish() {
  ++next_superblock_.sequence;
  context_->superblock = next_superblock_;
  context_->journal.Release(target_sequence_);
  for (const auto& [block, version] : versions_) {
    context_->overlay.EraseUpTo(block, target_sequence_);
    context_->unrecoverable_blocks.erase(block);
  }
  for (const std::uint64_t block : unknown_blocks_) {
    context_->unrecoverable_blocks.erase(block);
  }
  for (auto& [index, tag_block] : tag_blocks_) {
    context_->tags.Insert(std::move(tag_block));
  }
  Clear();
  step_ = Step::kIdle;
  ++context_->in_place_revision;
  ++completed_;
  context_->tags.Evict();
  on_finished_();
}

void Checkpointer::Clear() {
  versions_.clear();
  unknown_blocks_.clear();
  tag_blocks_.clear();
  context_->tags.UnpinAll();
}

}  // namespace walnutspur::integrity
