#include "integrity/command_executor.h"

#include <algorithm>
#include <utility>

#include "integrity/block_verifier.h"

namespace walnutspur::integrity {
namespace {

// Number of records of the maximum size that must fit into the journal: one that a checkpoint is freeing, and
// the next.
constexpr std::uint64_t kRecordsInJournal = 2;

bool IsCorrupt(const std::vector<CorruptBlock>& corrupt, std::uint64_t block) {
  return std::any_of(corrupt.begin(), corrupt.end(),
                     [&](const CorruptBlock& candidate) { return candidate.block == block; });
}

}  // namespace

// ---- admission ----

void CommandExecutor::Submit(Command command) {
  const CommandId id = command.id;
  if (!IsValid(command)) {
    return Reject(id);
  }
  auto created = std::make_unique<PendingCommand>(std::move(command));
  PendingCommand& pending = *created;
  if (pending.is_write() && !FitsIntoJournal(pending)) {
    return Reject(id);
  }
  pending_[id] = std::move(created);
  switch (pending.command.kind) {
    case Command::Kind::kRead:
      return Load(pending);
    case Command::Kind::kFlush:
      pending.phase = PendingCommand::Phase::kFlushing;
      return context_->io_queue.IssueFlush(id, context_->journal.acknowledged_sequence());
    case Command::Kind::kTrim:
    case Command::Kind::kWrite:
      return StartChange(pending);
  }
}

bool CommandExecutor::IsValid(const Command& command) const {
  if (command.id == kVolumeCommand || pending_.contains(command.id)) {
    return false;
  }
  if (command.kind == Command::Kind::kFlush) {
    return true;
  }
  const std::uint64_t end = command.offset + command.length;
  if (command.length == 0 || end > context_->superblock.geometry.data_size() || end < command.offset) {
    return false;
  }
  return command.kind != Command::Kind::kWrite || command.data.bytes.size() == command.length;
}

bool CommandExecutor::FitsIntoJournal(const PendingCommand& pending) const {
  const std::uint64_t blocks = pending.range.count;
  return blocks <= kMaxRecordBlocks &&
         RecordSize(blocks, true) <= context_->superblock.geometry.journal_size / kRecordsInJournal;
}

void CommandExecutor::StartChange(PendingCommand& pending) {
  if (pending.range.count == 0) {  // a trim without a complete block
    return Finish(pending, CommandResult::Status::kCompleted);
  }
  if (locks_.MustWait(pending.command.id, pending.range)) {
    pending.phase = PendingCommand::Phase::kWaitingForLock;
    locks_.AddWaiter(pending.command.id, pending.range);
    return;
  }
  Lock(pending);
}

void CommandExecutor::Lock(PendingCommand& pending) {
  locks_.Acquire(pending.command.id, pending.range);
  Load(pending);
}

void CommandExecutor::Reject(CommandId command) {
  results_.push_back({command, CommandResult::Status::kRejected, "", {}});
}

void CommandExecutor::Abandon(CommandId command) {
  PendingCommand* pending = Find(command);
  if (!pending) {
    return;
  }
  pending->abandoned = true;
  // No request that changes data has been sent for a command that is still waiting, so it ends here.
  if (pending->phase == PendingCommand::Phase::kWaitingForLock ||
      pending->phase == PendingCommand::Phase::kWaitingForSpace) {
    Finish(*pending, CommandResult::Status::kRejected);
  }
}

// ---- loading tags and data ----

void CommandExecutor::Load(PendingCommand& pending) {
  pending.phase = PendingCommand::Phase::kLoading;
  pending.in_place_revision = context_->in_place_revision;
  pending.ClearContent();
  pending.io_failed = false;
  pending.unreadable_tag_blocks.clear();
  LoadTags(pending);
  LoadData(pending);
  if (pending.is_loaded()) {
    OnLoaded(pending);
  }
}

void CommandExecutor::LoadTags(PendingCommand& pending) {
  const std::uint64_t last = TagBlockOf(pending.range.end() - 1);
  for (std::uint64_t index = TagBlockOf(pending.range.first); index <= last; ++index) {
    if (context_->tags.Find(index)) {
      continue;
    }
    pending.missing_tag_blocks.insert(index);
    context_->tag_loader.Load(index, pending.command.id);
  }
}

// Reads adjoining blocks with one request, up to the size limit of a request.
void CommandExecutor::LoadData(PendingCommand& pending) {
  const std::uint64_t end = pending.range.end();
  for (std::uint64_t block = pending.range.first; block < end;) {
    if (!MustReadFromTarget(pending, block)) {
      ++block;
      continue;
    }
    std::uint64_t run_end = block + 1;
    while (run_end < end && MustReadFromTarget(pending, run_end) &&
           (run_end + 1 - block) * kBlockBytes <= context_->options.max_io_bytes) {
      ++run_end;
    }
    ++pending.reads_in_flight;
    context_->io_queue.IssueRead(IoPurpose::kData, pending.command.id, block * kBlockBytes,
                                 static_cast<std::uint32_t>((run_end - block) * kBlockBytes));
    block = run_end;
  }
}

// Returns whether the content of a block is needed and has to be read in place, as far as this is known
// before its tags are loaded.
bool CommandExecutor::MustReadFromTarget(const PendingCommand& pending, std::uint64_t block) {
  if (context_->overlay.Newest(block) || context_->unrecoverable_blocks.contains(block) ||
      !pending.NeedsContentOf(block)) {
    return false;
  }
  const TagBlock* cached = context_->tags.Find(TagBlockOf(block));
  return cached == nullptr || !IsHole(cached->tags[TagPositionOf(block)]);
}

void CommandExecutor::OnTagsRead(CommandId command, std::uint64_t index, TagReadStatus status,
                                 bool issued_read) {
  PendingCommand* pending = Find(command);
  if (!pending) {
    return;
  }
  // A failed read fails only the command that issued it; the other waiters issue a read of their own.
  if (status == TagReadStatus::kFailed && !issued_read) {
    return context_->tag_loader.Load(index, command);
  }
  pending->missing_tag_blocks.erase(index);
  if (status == TagReadStatus::kUncertain) {
    pending->unreadable_tag_blocks.insert(index);
  }
  if (status == TagReadStatus::kFailed) {
    pending->io_failed = true;
  }
  if (pending->is_loaded()) {
    OnLoaded(*pending);
  }
}

void CommandExecutor::OnDataRead(const PendingIo& request, IoStatus status, std::string data) {
  PendingCommand* pending = Find(request.command);
  if (!pending) {
    return;
  }
  --pending->reads_in_flight;
  if (status != IoStatus::kCompleted || data.size() != request.length) {
    pending->io_failed = true;
  } else {
    pending->TakeData(request.offset, std::move(data));
  }
  if (pending->is_loaded()) {
    OnLoaded(*pending);
  }
}

void CommandExecutor::OnLoaded(PendingCommand& pending) {
  if (pending.io_failed) {
    return Finish(pending,
                  pending.is_read() ? CommandResult::Status::kFailed : CommandResult::Status::kRejected);
  }
  if (!AreTagsLoaded(pending)) {
    return Load(pending);
  }
  VerifiedBlocks verified = VerifyBlocks(*context_, &pending);
  if (verified.must_reload) {
    return Load(pending);
  }
  if (pending.is_read()) {
    return FinishRead(pending, std::move(verified.corrupt));
  }
  // A write needs the generations of its blocks: it reads the tags again until they are certain.
  if (!pending.unreadable_tag_blocks.empty()) {
    return Load(pending);
  }
  if (!verified.corrupt.empty()) {
    return Finish(pending, CommandResult::Status::kCorrupted, "", std::move(verified.corrupt));
  }
  AppendToJournal(pending);
}

// Returns false if a tag block was evicted while another one was being read.
bool CommandExecutor::AreTagsLoaded(const PendingCommand& pending) {
  const std::uint64_t last = TagBlockOf(pending.range.end() - 1);
  for (std::uint64_t index = TagBlockOf(pending.range.first); index <= last; ++index) {
    if (!pending.unreadable_tag_blocks.contains(index) && !context_->tags.Find(index)) {
      return false;
    }
  }
  return true;
}

// ---- reads ----

void CommandExecutor::FinishRead(PendingCommand& pending, std::vector<CorruptBlock> corrupt) {
  const Command& command = pending.command;
  // The common case needs no copy: nothing is in the journal, nothing is corrupt, one read returned
  // everything.
  if (corrupt.empty() && pending.block_content.empty() &&
      pending.contiguous_content.size() == command.length) {
    return Finish(pending, CommandResult::Status::kCompleted, std::move(pending.contiguous_content));
  }
  std::string data;
  data.reserve(command.length);
  const std::uint64_t end = command.offset + command.length;
  for (std::uint64_t block = pending.range.first; block < pending.range.end(); ++block) {
    const std::uint64_t begin = block * kBlockBytes;
    const std::uint64_t from = std::max(begin, command.offset) - begin;
    const std::uint64_t until = std::min(begin + kBlockBytes, end) - begin;
    const std::string_view content =
        IsCorrupt(corrupt, block) ? ZeroBlock().bytes : *pending.ContentOf(block);
    data.append(content.substr(from, until - from));
  }
  const auto status = corrupt.empty() ? CommandResult::Status::kCompleted : CommandResult::Status::kCorrupted;
  Finish(pending, status, std::move(data), std::move(corrupt));
}

// ---- writes and trims ----

void CommandExecutor::AppendToJournal(PendingCommand& pending) {
  RecordContent content;
  content.command = pending.command.id;
  content.first_block = pending.range.first;
  content.has_data = pending.is_write();
  if (!context_->journal.HasSpaceFor(RecordSize(pending.range.count, content.has_data))) {
    pending.phase = PendingCommand::Phase::kWaitingForSpace;
    waiting_for_space_.push_back(pending.command.id);
    space_needed_ = true;
    return checkpointer_->Start();
  }
  pending.phase = PendingCommand::Phase::kJournaling;
  for (std::uint64_t block = pending.range.first; block < pending.range.end(); ++block) {
    BlockVersion version;
    version.tag.generation = NextGenerationOf(block);
    if (content.has_data) {
      version.data = pending.MergedContentOf(block);
      version.tag.sum =
          TagSum(DataSum(version.data.bytes), context_->superblock.export_id, block, version.tag.generation);
    } else {
      version.tag.generation |= kHoleFlag;
    }
    content.versions.push_back(std::move(version));
  }
  pending.ClearContent();
  pending.command.data = Slice();
  context_->journal.Append(std::move(content));
}

// Returns the generation of a block's next content. Content that is only in the journal may reuse the
// generation that it replaces; content that a running checkpoint may have written in place already may not.
std::uint32_t CommandExecutor::NextGenerationOf(std::uint64_t block) const {
  const BlockVersion* newest = context_->overlay.Newest(block);
  if (!newest) {
    return NextGeneration(context_->tags.TagOf(block).generation);
  }
  return checkpointer_->Includes(newest->sequence) ? NextGeneration(newest->tag.generation)
                                                   : newest->tag.generation & ~kHoleFlag;
}

void CommandExecutor::OnRecordWritten(std::uint64_t sequence, IoStatus status) {
  const std::optional<CommandId> failed = context_->journal.OnWritten(sequence, status);
  if (status == IoStatus::kCompleted) {
    return AcknowledgeRecords();
  }
  PendingCommand* pending = failed ? Find(*failed) : nullptr;
  if (pending) {
    Finish(*pending, status == IoStatus::kNotExecuted ? CommandResult::Status::kRejected
                                                      : CommandResult::Status::kFailed);
  }
}

void CommandExecutor::AcknowledgeRecords() {
  while (JournalRecord* record = context_->journal.AcknowledgeNext()) {
    for (std::size_t i = 0; i < record->versions.size(); ++i) {
      context_->overlay.Add(record->first_block + i, std::move(record->versions[i]));
    }
    record->versions.clear();
    if (!record->write_failed) {
      OnAcknowledged(record->command);
    }
  }
  const auto capacity = static_cast<double>(context_->superblock.geometry.journal_size);
  if (static_cast<double>(context_->journal.used_bytes()) >=
      context_->options.checkpoint_fraction * capacity) {
    checkpointer_->Start();
  }
}

void CommandExecutor::OnAcknowledged(CommandId command) {
  PendingCommand* pending = Find(command);
  if (!pending) {
    return;
  }
  // FUA on the record's write alone would make the record durable without those before it.
  if (pending->command.fua && !context_->options.fua_journal) {
    pending->phase = PendingCommand::Phase::kFlushing;
    return context_->io_queue.IssueFlush(command, context_->journal.acknowledged_sequence());
  }
  Finish(*pending, CommandResult::Status::kCompleted);
}

void CommandExecutor::OnFlushed(CommandId command, IoStatus status) {
  if (PendingCommand* pending = Find(command)) {
    Finish(*pending, status == IoStatus::kCompleted ? CommandResult::Status::kCompleted
                                                    : CommandResult::Status::kFailed);
  }
}

void CommandExecutor::OnCheckpointFinished() {
  const bool was_needed = std::exchange(space_needed_, false);
  for (const CommandId command : std::exchange(waiting_for_space_, {})) {
    // The blocks are still locked, but their tags may have been evicted meanwhile.
    if (PendingCommand* pending = Find(command)) {
      Load(*pending);
    }
  }
  if (was_needed && space_needed_) {
    checkpointer_->Start();
  }
}

// ---- results ----

void CommandExecutor::Finish(PendingCommand& pending, CommandResult::Status status, std::string data,
                             std::vector<CorruptBlock> corrupt) {
  const CommandId id = pending.command.id;
  if (!pending.abandoned) {
    results_.push_back({id, status, std::move(data), std::move(corrupt)});
  }
  std::erase(waiting_for_space_, id);
  locks_.RemoveWaiter(id);
  context_->tag_loader.RemoveWaiter(id);
  const bool held_locks = pending.changes_blocks();
  const BlockRange range = pending.range;
  pending_.erase(id);
  if (held_locks) {
    locks_.Release(id, range);
    StartReadyWaiters();
  }
}

// Starts waiting commands one at a time: each that starts may change which others must wait.
void CommandExecutor::StartReadyWaiters() {
  while (const std::optional<CommandId> ready = locks_.TakeReadyWaiter()) {
    Lock(*pending_.at(*ready));
  }
}

std::vector<CommandResult> CommandExecutor::TakeResults() { return std::exchange(results_, {}); }

PendingCommand* CommandExecutor::Find(CommandId command) {
  const auto found = pending_.find(command);
  return found == pending_.end() ? nullptr : found->second.get();
}

}  // namespace walnutspur::integrity
