// Class CommandExecutor executes clients' commands on one volume. A read loads tags and data and verifies the
// data before any of it reaches the client. A write locks its blocks, loads the content that it must
// preserve, and completes when its journal record is acknowledged.
//
// Failures and their guards:
// - Two writes change parts of one block at a time, and the later record undoes the earlier one's part. A
//   write locks its blocks from its reads until its record is acknowledged.
// - An FUA write has to survive a power cut as soon as it has completed. With FUA on the record's write
//   alone, the record would be durable without those before it, and a replay would end before it. Its
//   acknowledgement is followed by a flush instead.
// - A write arrives while a checkpoint writes the same block in place. With the same generation for both
//   contents, stale content of one could match the tag of the other. The new content gets a generation of its
//   own.
//
// Owned by Volume, which submits commands once the export is attached; used on the thread of the volume's
// owner. Errors are statuses of CommandResult.
#ifndef WALNUTSPUR_INTEGRITY_COMMAND_EXECUTOR_H_
#define WALNUTSPUR_INTEGRITY_COMMAND_EXECUTOR_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "integrity/block_locks.h"
#include "integrity/checkpointer.h"
#include "integrity/pending_command.h"
#include "integrity/volume_context.h"
#include "integrity/volume_io.h"

namespace walnutspur::integrity {

class CommandExecutor {
 public:
  // Both objects must outlive the executor.
  CommandExecutor(VolumeContext* context, Checkpointer* checkpointer)
      : context_(context), checkpointer_(checkpointer) {}

  void Submit(Command command);
  // Adds the result kRejected for a command that will not be executed.
  void Reject(CommandId command);
  // Discards the result of a command whose client no longer waits for it. Its requests in flight are not
  // cancelled.
  void Abandon(CommandId command);

  // Handle completions of storage requests. `issued_read` is true if this command issued the completed read.
  void OnTagsRead(CommandId command, std::uint64_t index, TagReadStatus status, bool issued_read);
  void OnDataRead(const PendingIo& request, IoStatus status, std::string data);
  void OnRecordWritten(std::uint64_t sequence, IoStatus status);
  void OnFlushed(CommandId command, IoStatus status);
  void OnCheckpointFinished();

  std::vector<CommandResult> TakeResults();
  std::size_t pending() const { return pending_.size(); }
  std::size_t tracked_entries() const {
    return pending_.size() + waiting_for_space_.size() + locks_.locked_blocks() + locks_.waiters();
  }

 private:
  bool IsValid(const Command& command) const;
  bool FitsIntoJournal(const PendingCommand& pending) const;
  void StartChange(PendingCommand& pending);
  void Lock(PendingCommand& pending);

  void Load(PendingCommand& pending);
  void LoadTags(PendingCommand& pending);
  void LoadData(PendingCommand& pending);
  bool MustReadFromTarget(const PendingCommand& pending, std::uint64_t block);
  void OnLoaded(PendingCommand& pending);
  bool AreTagsLoaded(const PendingCommand& pending);

  void FinishRead(PendingCommand& pending, std::vector<CorruptBlock> corrupt);
  void AppendToJournal(PendingCommand& pending);
  std::uint32_t NextGenerationOf(std::uint64_t block) const;
  void AcknowledgeRecords();
  void OnAcknowledged(CommandId command);
  void Finish(PendingCommand& pending, CommandResult::Status status, std::string data = "",
              std::vector<CorruptBlock> corrupt = {});
  void StartReadyWaiters();
  PendingCommand* Find(CommandId command);

  VolumeContext* context_;
  Checkpointer* checkpointer_;
  std::map<CommandId, std::unique_ptr<PendingCommand>> pending_;
  BlockLocks locks_;
  std::deque<CommandId> waiting_for_space_;  // in the journal
  bool space_needed_ = false;           // a command has begun to wait for space since the last checkpoint
  std::vector<CommandResult> results_;  // not collected yet
};

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_COMMAND_EXECUTOR_H_
