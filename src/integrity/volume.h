// One checksummed export: what each command of a client asks of the box, and when it may be answered. No I/O,
// clock or thread: the owner carries out each Io and reports its end, in any order.
//
// A write goes whole into the journal and is answered once its record and all before it are there; data and
// tags follow in place with the next checkpoint. So a cut anywhere leaves the old or the new content of every
// block, and tags that fit it. The order that this rests on:
//
//   records  ->  flush  ->  data and tags in place  ->  flush  ->  superblock with the new tail  ->  reuse
//
// A read is checked against its tag before any of it is handed on. What does not fit is named, with what it
// looks like; whose fault it is decides blame.h.
//
// One writer: an export is attached by one owner at a time, and every attachment raises the epoch.
#ifndef WALNUTSPUR_INTEGRITY_VOLUME_H_
#define WALNUTSPUR_INTEGRITY_VOLUME_H_

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "integrity/layout.h"
#include "integrity/slice.h"

namespace walnutspur::integrity {

using CommandId = std::uint64_t;  // from 1; 0: the volume's own work
using IoId = std::uint64_t;

enum class IoKind { kRead, kWrite, kFlush };
enum class IoFor { kSuper, kJournal, kTags, kData, kApply, kBarrier };

struct Io {
  IoId id = 0;
  IoKind kind = IoKind::kRead;
  IoFor purpose = IoFor::kData;
  CommandId command = 0;
  std::uint64_t offset = 0;
  std::uint32_t length = 0;
  std::string data;         // of a write: its beginning,
  std::vector<Slice> tail;  // and what follows it
  bool fua = false;         // durable when it ends

  std::string All() const;  // data and tail
};

enum class IoEnd {
  kDone,
  kNeverRan,  // the box has seen nothing of it that it could run
  kFailed     // it may have run, or may yet
};

struct Command {
  enum class Kind { kRead, kWrite, kTrim, kFlush };
  CommandId id = 0;
  Kind kind = Kind::kRead;
  std::uint64_t offset = 0;
  std::uint32_t length = 0;
  Slice data;  // of a write
  bool fua = false;
};

// What a block that does not fit its tag looks like.
enum class Looks {
  kUnlike,     // nothing that is known
  kOld,        // the content before the last: a write that was lost, or an old answer
  kElsewhere,  // the content of another block: a write that went astray
  kTagsBad,    // its tags cannot be read, so nothing can be said of it
  kRecordBad   // its newest content stood in a record of the journal that is damaged
};

struct BadBlock {
  std::uint64_t block = 0;
  Looks looks = Looks::kUnlike;
  std::uint32_t found = 0;       // DataSum of what was read
  std::uint64_t belongs_to = 0;  // kElsewhere: the block
  bool operator==(const BadBlock&) const = default;
};

struct Result {
  enum class Status {
    kDone,
    kRefused,  // nothing of it has run
    kFailed,   // a write may have run
    kDamaged   // a read met bad blocks; a write would have had to keep part of one, and nothing of it has run
  };
  CommandId id = 0;
  Status status = Status::kDone;
  std::string data;  // of a read; bad blocks are zeros in it and must not be handed on
  std::vector<BadBlock> bad;
};

struct VolumeOptions {
  std::uint64_t size = 0;             // of the export at the box
  std::uint32_t most_io = 1 << 20;    // bytes of one Io
  std::size_t most_tag_blocks = 256;  // kept in memory, 4 KiB each
  double checkpoint_at = 0.5;         // of the journal's size
  bool fua_journal = false;           // records are made durable one by one: a flush covers one connection
};

class Volume {
 public:
  enum class State { kNew, kAttaching, kReady, kBroken };

  explicit Volume(const VolumeOptions& options);
  ~Volume();
  Volume(const Volume&) = delete;
  Volume& operator=(const Volume&) = delete;

  // Reads superblock and journal, takes the export over, and is ready or broken after that.
  void Attach();
  // What is submitted before the volume is ready waits; once it is broken everything is refused.
  void Submit(Command command);
  // Nobody waits for it any more. What is under way goes on: it may have run.
  void Abandon(CommandId command);
  void Ended(IoId io, IoEnd end, std::string data = "");
  // Brings what the journal holds in place, if anything is there and no checkpoint is under way. The owner
  // asks for it when the volume has been at rest, or after a failure, when it is time to try again.
  void Checkpoint();

  // What is to be done since the last call, in order.
  std::vector<Io> TakeIo();
  std::vector<Result> TakeResults();

  State state() const { return state_; }
  const std::string& why() const { return why_; }  // broken: one line
  std::uint64_t size() const { return super_.geometry.data_size(); }
  const Superblock& super() const { return super_; }

  bool dirty() const { return !records_.empty(); }
  bool checkpointing() const { return stage_ != Stage::kNone; }
  std::uint64_t journal_used() const { return used_; }
  std::uint64_t checkpoints() const { return checkpoints_; }
  std::size_t open() const { return ops_.size(); }
  std::size_t in_flight() const { return ios_.size(); }
  // Entries in all tables; what is over leaves none behind but cached tags.
  std::size_t remembered() const;
  // Blocks that are known to be bad from the journal's replay, until they are written anew.
  const std::map<std::uint64_t, Looks>& bad() const { return bad_; }

 private:
  struct Version {  // of a block, in the journal and not in place
    std::uint64_t sequence = 0;
    Tag tag;
    Slice data;  // empty: a hole
  };
  struct Record {
    enum class State { kWriting, kDone, kVoid };
    std::uint64_t sequence = 0, at = 0, first = 0;
    std::uint32_t size = 0;
    CommandId command = 0;
    State state = State::kWriting;
    bool failed = false;  // it is being made void
    bool asked = true;    // a write of it is under way
    std::vector<Version> versions;
  };
  struct Op {
    Command command;
    std::uint64_t first = 0, count = 0;  // blocks
    enum class Phase { kLocked, kLoading, kSpace, kJournal, kFlush } phase = Phase::kLoading;
    std::set<std::uint64_t> tags_missing;  // tag blocks
    std::set<std::uint64_t> tags_bad;
    std::string whole;                    // all its blocks as they came, if they came by one read
    std::map<std::uint64_t, Slice> read;  // else each; and what stands in the journal, over what came
    std::size_t reading = 0;
    std::uint64_t applies = 0;  // what applies_ was when its data was asked for
    bool abandoned = false;
    bool io_failed = false;
  };
  struct Cached {
    TagBlock tags;
    std::list<std::uint64_t>::iterator age;
  };
  enum class Stage { kNone, kBarrier, kTags, kApply, kSecondBarrier, kSuper };

  IoId Ask(IoKind kind, IoFor purpose, CommandId command, std::uint64_t offset, std::uint32_t length,
           std::string data = "", bool fua = false, std::vector<Slice> tail = {});
  void Break(std::string why);
  void Answer(Op& op, Result::Status status, std::string data = "", std::vector<BadBlock> bad = {});

  // attaching
  void OnSuper(const std::string& data);
  void ReadJournal();
  void Replay();
  bool FindBeyond(std::uint64_t sequence, std::uint64_t epoch, std::uint64_t* at, RecordHead* head) const;
  void MarkBad(std::uint64_t first, std::uint64_t count);
  void Recover(const RecordHead& head, std::uint64_t at, bool whole);
  void WriteSuper(const Superblock& super);

  // commands
  void Begin(Op& op);
  void Load(Op& op);
  void LoadTags(std::uint64_t index, CommandId command);
  void OnTags(const Io& io, IoEnd end, const std::string& data);
  void TagsBad(std::uint64_t index);
  bool Doubtful(std::uint64_t index, const std::string& data);
  void OnData(const Io& io, IoEnd end, std::string data);
  // A block as it was read, or nothing.
  static std::optional<std::string_view> Came(const Op& op, std::uint64_t block);
  void Loaded(Op& op);
  bool Check(Op& op, std::vector<BadBlock>* bad, bool* again);
  BadBlock Describe(std::uint64_t block, const Tag& tag, std::string_view data) const;
  void FinishRead(Op& op, std::vector<BadBlock> bad);
  void Journal(Op& op);
  Slice Merged(const Op& op, std::uint64_t block) const;
  std::uint32_t Generation(std::uint64_t block) const;
  void Retry();  // what waits for room in the journal
  void Unlock(const Op& op);
  bool Conflicts(const Op& op) const;

  // the journal
  bool Room(std::uint32_t size) const;
  Record& Append(std::uint32_t size);
  void Write(Record& record, const RecordHead& head, std::vector<Slice> data, bool fua);
  void Void(Record& record);
  void OnRecord(std::uint64_t sequence, IoEnd end);
  void Acknowledge();
  Record* Find(std::uint64_t sequence);
  RecordHead HeadOf(const Record& record) const;

  // checkpoints
  void Barrier(Stage stage);
  void LoadForApply();
  void Apply();
  void OnStage(IoEnd end);
  void FinishCheckpoint();

  const Version* Newest(std::uint64_t block) const;
  Tag TagOf(std::uint64_t block) const;  // in place; its tag block must be cached
  TagBlock* CachedTags(std::uint64_t index);
  void Cache(TagBlock block);
  void Trim();

  VolumeOptions options_;
  State state_ = State::kNew;
  std::string why_;
  Superblock super_;
  std::vector<Io> out_;
  std::vector<Result> results_;
  IoId next_io_ = 1;
  std::unordered_map<IoId, Io> ios_;  // without their data
  std::vector<Command> early_;        // submitted before the volume was ready

  std::map<CommandId, std::unique_ptr<Op>> ops_;
  std::deque<CommandId> locked_;  // writes that wait for others on their blocks
  std::deque<CommandId> spaceless_;
  std::map<std::uint64_t, CommandId> locks_;  // blocks that a write is changing

  std::string journal_;  // while attaching
  std::size_t journal_parts_ = 0;
  std::map<std::uint64_t, Looks> bad_;

  std::uint64_t head_at_ = 0, used_ = 0, next_sequence_ = 1;
  std::uint64_t acked_ = 0;                          // records up to this one are answered
  std::uint64_t flushed_ = 0;                        // and up to this one durable
  std::unordered_map<IoId, std::uint64_t> flushes_;  // under way: what was answered when each was asked for
  std::uint64_t last_first_ = 0;                     // of the record appended last
  std::uint16_t last_count_ = 0;
  std::deque<Record> records_;                                       // not in place, by sequence
  std::unordered_map<std::uint64_t, std::vector<Version>> overlay_;  // by block; the newest at the end

  std::unordered_map<std::uint64_t, Cached> tags_;  // by tag block
  std::list<std::uint64_t> ages_;                   // the one used last at the front
  std::unordered_map<std::uint64_t, std::uint64_t>
      versions_;  // of tag blocks, once seen: older ones are stale
  std::map<std::uint64_t, std::set<CommandId>> tag_waiters_;  // 0: the checkpoint
  struct Doubt {
    std::uint32_t sum = 0;
    int times = 0;
  };
  std::map<std::uint64_t, Doubt> doubts_;  // tag blocks of which a slot cannot be read

  Stage stage_ = Stage::kNone;
  std::uint64_t target_ = 0;  // the record up to which the checkpoint goes
  std::size_t stage_left_ = 0;
  bool stage_failed_ = false;
  std::map<std::uint64_t, Version> applying_;
  std::set<std::uint64_t> applying_unknown_;  // blocks whose content is lost, and whose tags will say so
  std::map<std::uint64_t, TagBlock> applying_tags_;
  std::uint64_t applies_ = 0;
  std::uint64_t checkpoints_ = 0;
  bool wanted_ = false;  // a checkpoint, by a write that finds no room
};

// What formatting writes, in order; the superblock comes last and needs a flush before and after. Throws
// std::runtime_error with one line if the export is too small.
std::vector<Io> FormatPlan(std::uint64_t size, std::uint64_t journal, std::uint64_t export_id,
                           std::uint32_t most_io = 1 << 20);

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_VOLUME_H_
