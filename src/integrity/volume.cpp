#include "integrity/volume.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace walnutspur::integrity {
namespace {

// Minimum number of blocks of an export: the superblocks and one more.
constexpr std::uint64_t kMinBlocks = kSuperblockCopies + 1;

}  // namespace

Volume::Volume(const VolumeOptions& options)
    : context_(options),
      checkpointer_(&context_, [this] { commands_.OnCheckpointFinished(); }),
      commands_(&context_, &checkpointer_) {}

std::size_t Volume::tracked_entries() const {
  return commands_.tracked_entries() + checkpointer_.tracked_entries() + early_commands_.size() +
         context_.io_queue.in_flight() + context_.journal.size() + context_.overlay.blocks().size() +
         context_.tag_loader.reads() + context_.unrecoverable_blocks.size() +
         context_.tags.unreadable_slots();
}

// ---- attaching ----

void Volume::Attach() {
  if (state_ != State::kNew) {
    return;
  }
  state_ = State::kAttaching;
  const VolumeOptions& options = context_.options;
  const std::uint64_t blocks = options.size / kBlockBytes;
  if (blocks < kMinBlocks || options.max_io_bytes < kSuperblockCopies * kBlockBytes) {
    return Fail("an export of " + std::to_string(options.size) +
                " bytes is smaller than its reserved region");
  }
  context_.io_queue.IssueRead(IoPurpose::kSuperblock, kVolumeCommand,
                              (blocks - kSuperblockCopies) * kBlockBytes,
                              static_cast<std::uint32_t>(kSuperblockCopies * kBlockBytes));
}

void Volume::OnAttachIoCompleted(const PendingIo& request, IoStatus status, const std::string& data) {
  const bool is_read = request.kind == IoKind::kRead;
  if (status != IoStatus::kCompleted || (is_read && data.size() != request.length)) {
    journal_reads_in_flight_ = 0;
    context_.io_queue.DiscardPending();
    return Fail("attaching the export failed: the target did not execute a storage request");
  }
  if (is_read && request.purpose == IoPurpose::kSuperblock) {
    return OnSuperblockRead(data);
  }
  if (!is_read) {
    ++context_.superblock.sequence;
    ++context_.superblock.epoch;
    return ReadJournal();
  }
  attached_journal_.replace(request.offset - context_.superblock.geometry.journal_offset, request.length,
                            data);
  if (--journal_reads_in_flight_ == 0) {
    ReplayJournal();
  }
}

void Volume::OnSuperblockRead(const std::string& data) {
  const std::string_view copies(data);
  const std::uint64_t size = context_.options.size;
  const DecodedSuperblock decoded = ChooseSuperblock(DecodeSuperblock(copies.substr(0, kBlockBytes), size),
                                                     DecodeSuperblock(copies.substr(kBlockBytes), size));
  if (decoded.state != SuperblockState::kValid) {
    return Fail(decoded.error);
  }
  context_.superblock = decoded.superblock;
  Superblock next = decoded.superblock;
  ++next.epoch;
  context_.WriteSuperblock(next);
}

void Volume::ReadJournal() {
  const Geometry& geometry = context_.superblock.geometry;
  const std::uint64_t max_length = context_.options.max_io_bytes;
  attached_journal_.assign(geometry.journal_size, '\0');
  for (std::uint64_t at = 0; at < geometry.journal_size; at += max_length) {
    const std::uint64_t length = std::min(max_length, geometry.journal_size - at);
    context_.io_queue.IssueRead(IoPurpose::kJournal, kVolumeCommand, geometry.journal_offset + at,
                                static_cast<std::uint32_t>(length));
    ++journal_reads_in_flight_;
  }
}

void Volume::ReplayJournal() {
  ReplayedJournal replayed = JournalReplay(context_.superblock, attached_journal_).Run();
  context_.journal.Resume(replayed);
  context_.overlay = std::move(replayed.overlay);
  context_.unrecoverable_blocks = std::move(replayed.unrecoverable_blocks);
  attached_journal_ = std::string();
  if (!replayed.error.empty()) {
    return Fail(replayed.error);
  }
  state_ = State::kReady;
  for (Command& command : std::exchange(early_commands_, {})) {
    Submit(std::move(command));
  }
  Checkpoint();
}

void Volume::Fail(std::string error) {
  state_ = State::kFailed;
  error_ = std::move(error);
  for (const Command& command : std::exchange(early_commands_, {})) {
    commands_.Reject(command.id);
  }
}

// ---- commands and completions ----

void Volume::Submit(Command command) {
  switch (state_) {
    case State::kFailed:
      return commands_.Reject(command.id);
    case State::kReady:
      return commands_.Submit(std::move(command));
    case State::kNew:
    case State::kAttaching:
      return early_commands_.push_back(std::move(command));
  }
}

void Volume::Abandon(CommandId command) {
  std::erase_if(early_commands_, [&](const Command& early) { return early.id == command; });
  commands_.Abandon(command);
}

void Volume::Checkpoint() {
  if (state_ == State::kReady) {
    checkpointer_.Start();
  }
}

void Volume::OnIoCompleted(IoId id, IoStatus status, std::string data) {
  const std::optional<PendingIo> request = context_.io_queue.Complete(id);
  if (!request) {
    return;
  }
  if (request->kind == IoKind::kFlush && status == IoStatus::kCompleted) {
    context_.journal.OnFlushed(request->record_sequence);
  }
  if (state_ == State::kFailed) {
    return;
  }
  if (state_ == State::kAttaching) {
    return OnAttachIoCompleted(*request, status, data);
  }
  switch (request->purpose) {
    case IoPurpose::kTags:
      return OnTagsRead(*request, status, data);
    case IoPurpose::kData:
      return commands_.OnDataRead(*request, status, std::move(data));
    case IoPurpose::kJournal:
      return commands_.OnRecordWritten(request->record_sequence, status);
    case IoPurpose::kCheckpoint:
    case IoPurpose::kSuperblock:
      return checkpointer_.OnIoCompleted(status);
    case IoPurpose::kBarrier:
      return request->command == kVolumeCommand ? checkpointer_.OnIoCompleted(status)
                                                : commands_.OnFlushed(request->command, status);
  }
}

void Volume::OnTagsRead(const PendingIo& request, IoStatus status, const std::string& data) {
  const Geometry& geometry = context_.superblock.geometry;
  const std::uint64_t index = (request.offset - geometry.tags_offset) / (kTagSlotsBytes);
  const std::set<CommandId> waiters = context_.tag_loader.TakeWaiters(index);
  if (waiters.empty()) {
    return;
  }
  const TagReadStatus read_status = CacheTags(index, status, data);
  for (const CommandId waiter : waiters) {
    if (waiter == kVolumeCommand) {
      checkpointer_.OnTagsRead(index, read_status);
    } else {
      commands_.OnTagsRead(waiter, index, read_status, waiter == request.command);
    }
  }
}

TagReadStatus Volume::CacheTags(std::uint64_t index, IoStatus status, const std::string& data) {
  if (status != IoStatus::kCompleted) {
    return TagReadStatus::kFailed;
  }
  const bool is_complete = data.size() == kTagSlotsBytes;
  const bool is_certain =
      is_complete && context_.tags.InsertFromSlots(index, data, context_.superblock.export_id);
  return is_certain ? TagReadStatus::kLoaded : TagReadStatus::kUncertain;
}

}  // namespace walnutspur::integrity
