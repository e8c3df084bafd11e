// Class Volume implements one checksummed export: it determines which storage requests the commands of its
// clients need, and when each command completes. No I/O, clock or thread: the owner executes the requests and
// reports their completions, in any order.
//
// A write is recorded in the journal and completes once its record and all before it are written; a later
// checkpoint writes data and tags in place. So a crash at any time leaves the old or the new content of every
// block, with matching tags. This requires the order
//
//   records  ->  flush  ->  data and tags in place  ->  flush  ->  superblock with the new tail  ->  reuse
//
// A read is verified against its tags before any of its data reaches the client. Blocks that do not match are
// reported with a classification of their content; fault_attribution.h decides which component is at fault.
//
// One writer: an export must be attached by one owner at a time. Every attachment increments its epoch.
//
// Errors: a volume that cannot be attached is in state kFailed, and error() returns the cause; commands end
// with a CommandResult::Status. No exceptions are thrown.
//
// Owned by checksummed::ChecksummedExports; used on its thread only.
#ifndef WALNUTSPUR_INTEGRITY_VOLUME_H_
#define WALNUTSPUR_INTEGRITY_VOLUME_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "integrity/checkpointer.h"
#include "integrity/command_executor.h"
#include "integrity/volume_context.h"
#include "integrity/volume_io.h"

namespace walnutspur::integrity {

class Volume {
 public:
  enum class State { kNew, kAttaching, kReady, kFailed };

  explicit Volume(const VolumeOptions& options);
  Volume(const Volume&) = delete;
  Volume& operator=(const Volume&) = delete;

  // Starts reading the superblock and the journal and becomes the export's writer. The state is kReady or
  // kFailed when this has ended.
  void Attach();
  // Submits a command. Commands wait until the volume is ready, and are rejected if it has failed.
  void Submit(Command command);
  // Discards the result of a command whose client no longer waits for it. Its requests in flight may still be
  // executed.
  void Abandon(CommandId command);
  // Handles the completion of a storage request; `data` is the content that a read returned.
  void OnIoCompleted(IoId id, IoStatus status, std::string data = "");
  // Starts a checkpoint if the journal has acknowledged records and none is running. The owner calls it when
  // the volume has been idle, and to retry after a failure.
  void Checkpoint();

  // Returns the storage requests issued since the last call, in order.
  std::vector<IoRequest> TakeIoRequests() { return context_.io_queue.TakeRequests(); }
  std::vector<CommandResult> TakeResults() { return commands_.TakeResults(); }

  State state() const { return state_; }
  const std::string& error() const { return error_; }  // of a failed volume: one line
  std::uint64_t size() const { return context_.superblock.geometry.data_size(); }  // bytes, for clients
  const Superblock& superblock() const { return context_.superblock; }

  bool dirty() const { return !context_.journal.empty(); }  // the journal has records
  bool checkpointing() const { return checkpointer_.is_running(); }
  std::uint64_t journal_used() const { return context_.journal.used_bytes(); }
  std::uint64_t checkpoints() const { return checkpointer_.completed(); }
  std::size_t pending_commands() const { return commands_.pending(); }
  std::size_t in_flight() const { return context_.io_queue.in_flight(); }
  // Returns the number of entries in all tables except the tag cache: 0 when the volume is idle and clean.
  std::size_t tracked_entries() const;
  // Returns the blocks whose newest content was in a corrupt journal record, until a checkpoint has marked
  // their tags as unknown or they are written again.
  const std::set<std::uint64_t>& unrecoverable_blocks() const { return context_.unrecoverable_blocks; }

 private:
  void OnAttachIoCompleted(const PendingIo& request, IoStatus status, const std::string& data);
  void OnSuperblockRead(const std::string& data);
  void ReadJournal();
  void ReplayJournal();
  void Fail(std::string error);

  void OnTagsRead(const PendingIo& request, IoStatus status, const std::string& data);
  TagReadStatus CacheTags(std::uint64_t index, IoStatus status, const std::string& data);

  State state_ = State::kNew;
  std::string error_;
  VolumeContext context_;
  Checkpointer checkpointer_;
  CommandExecutor commands_;
  std::vector<Command> early_commands_;  // submitted before the volume was ready
  std::string attached_journal_;         // bytes of the journal, while attaching
  std::size_t journal_reads_in_flight_ = 0;
};

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_VOLUME_H_
