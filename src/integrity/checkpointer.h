// Class Checkpointer runs the checkpoints of one volume: it writes the content of acknowledged journal
// records in place, together with its tags, and frees the records.
//
//   flush  ->  tag blocks read  ->  data and tags in place  ->  flush  ->  superblock with the new tail
//
// Failures and their guards:
// - A crash, or a failed request, in the middle of a checkpoint leaves blocks in place that are half old and
//   half new. The records stay in the journal until the superblock with the new tail is durable: a replay, or
//   the next checkpoint, writes the same content again.
// - A power cut loses records that were acknowledged but not flushed. If their content were in place already,
//   the tags would not match it after the replay. The first flush makes the records durable before anything
//   is written in place, and only content that it covers is written.
// - A power cut loses content in place that was not flushed, after its records have been freed. The second
//   flush comes before the superblock that frees them.
// - A torn write of a tag block destroys the tags of all its blocks. Each tag block has two slots, written in
//   turn: the other one still has the tags that were valid before the checkpoint, and the journal has the
//   newer ones.
//
// Owned by Volume; called by it and by CommandExecutor, on the thread of the volume's owner. Errors of
// storage requests end the checkpoint and are not reported: Volume::Checkpoint or the next write starts
// another one.
#ifndef WALNUTSPUR_INTEGRITY_CHECKPOINTER_H_
#define WALNUTSPUR_INTEGRITY_CHECKPOINTER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "integrity/volume_context.h"

namespace walnutspur::integrity {

class Checkpointer {
 public:
  // `context` must outlive this. `on_finished` is called after each checkpoint that has freed records.
  Checkpointer(VolumeContext* context, std::function<void()> on_finished)
      : context_(context), on_finished_(std::move(on_finished)) {}

  // Starts a checkpoint of all acknowledged records unless there are none or a checkpoint is running. Retries
  // void records whose write failed in either case.
  void Start();
  void OnTagsRead(std::uint64_t index, TagReadStatus status);
  // Handles the completion of a flush or a write of the checkpoint.
  void OnIoCompleted(IoStatus status);

  bool is_running() const { return step_ != Step::kIdle; }
  // Returns whether the content of this record is part of the running checkpoint.
  bool Includes(std::uint64_t sequence) const { return is_running() && sequence <= target_sequence_; }
  std::uint64_t completed() const { return completed_; }
  std::size_t tracked_entries() const { return versions_.size() + tag_blocks_.size(); }

 private:
  enum class Step {
    kIdle,
    kFlushingRecords,
    kLoadingTags,
    kWritingInPlace,
    kFlushingInPlace,
    kWritingSuperblock
  };

  void Flush(Step step);
  void CollectContent();
  void LoadTagBlocks();
  bool LoadTagBlock(std::uint64_t index);
  void WriteInPlace();
  void UpdateTags();
  void WriteBlocks();
  void WriteRun(std::uint64_t first_block, std::vector<Slice> run);
  void WriteTagBlocks();
  void WriteSuperblock();
  void Fail();
  void Finish();
  void Clear();

  VolumeContext* context_;
  std::function<void()> on_finished_;
  Step step_ = Step::kIdle;
  std::uint64_t target_sequence_ = 0;  // the last record of the checkpoint
  std::size_t requests_in_flight_ = 0;
  bool io_failed_ = false;
  Superblock next_superblock_;
  std::map<std::uint64_t, BlockVersion> versions_;  // by block, the content to write in place
  std::set<std::uint64_t> unknown_blocks_;          // unrecoverable; their tags become unknown
  std::map<std::uint64_t, TagBlock> tag_blocks_;    // by index; pinned in the cache
  std::uint64_t completed_ = 0;
};

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_CHECKPOINTER_H_
