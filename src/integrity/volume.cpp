#include "integrity/volume.h"

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <utility>

namespace walnutspur::integrity {
namespace {

// A slot that cannot be read may be damaged on its way, damaged at rest or torn by a crash. Only what reads
// the same so often is taken to stand there.
constexpr int kSureAfter = 3;
const Slice kZeros = Own(std::string(kBlock, '\0'));

std::uint64_t TagIndex(std::uint64_t block) { return block / kTagsPerBlock; }

// Adjoining parts of one string are one part: a write's blocks mostly are.
void Join(std::vector<Slice>* run, const Slice& slice) {
  if (!run->empty() && slice.Continues(run->back())) {
    Slice& last = run->back();
    last.bytes = {last.bytes.data(), last.bytes.size() + slice.bytes.size()};
  } else {
    run->push_back(slice);
  }
}

}  // namespace

std::vector<Io> FormatPlan(std::uint64_t size, std::uint64_t journal, std::uint64_t export_id,
                           std::uint32_t most_io) {
  const auto geometry = Fit(size, journal);
  if (!geometry) {
    throw std::runtime_error(
        "an export of " + std::to_string(size) + " bytes has no room for tags and a journal; allowed are " +
        std::to_string(std::max(journal, kLeastJournal) + 16 * kBlock) + " bytes or more");
  }
  std::vector<Io> plan;
  const auto add = [&](IoKind kind, std::uint64_t offset, std::string data, bool fua) {
    Io io;
    io.id = plan.size() + 1;
    io.kind = kind;
    io.purpose = IoFor::kSuper;
    io.offset = offset;
    io.length = static_cast<std::uint32_t>(data.size());
    io.data = std::move(data);
    io.fua = fua;
    plan.push_back(std::move(io));
  };
  // Old superblocks go first: a format that is cut off leaves no export that looks whole.
  add(IoKind::kWrite, geometry->super_at, std::string(2 * kBlock, '\0'), true);
  for (std::uint64_t at = geometry->tags_at; at < geometry->journal_at; at += most_io) {
    add(IoKind::kWrite, at, std::string(std::min<std::uint64_t>(most_io, geometry->journal_at - at), '\0'),
        false);
  }
  add(IoKind::kFlush, 0, "", false);
  Superblock super;
  super.export_id = export_id;
  super.geometry = *geometry;
  add(IoKind::kWrite, geometry->super_at, Encode(super), true);
  add(IoKind::kFlush, 0, "", false);
  return plan;
}

std::string Io::All() const {
  std::string all = data;
  for (const Slice& slice : tail) {
    all += slice.bytes;
  }
  return all;
}

Volume::Volume(const VolumeOptions& options) : options_(options) {}
Volume::~Volume() = default;

std::vector<Io> Volume::TakeIo() { return std::exchange(out_, {}); }
std::vector<Result> Volume::TakeResults() { return std::exchange(results_, {}); }

std::size_t Volume::remembered() const {
  return ops_.size() + locked_.size() + spaceless_.size() + locks_.size() + ios_.size() + early_.size() +
         records_.size() + overlay_.size() + tag_waiters_.size() + flushes_.size() + applying_.size() +
         applying_tags_.size() + bad_.size() + doubts_.size();
}

IoId Volume::Ask(IoKind kind, IoFor purpose, CommandId command, std::uint64_t offset, std::uint32_t length,
                 std::string data, bool fua, std::vector<Slice> tail) {
  Io io;
  io.id = next_io_++;
  io.kind = kind;
  io.purpose = purpose;
  io.command = command;
  io.offset = offset;
  io.length = length;
  io.fua = fua;
  ios_[io.id] = io;
  if (kind == IoKind::kFlush) {
    flushes_[io.id] = acked_;
  }
  io.data = std::move(data);
  io.tail = std::move(tail);
  out_.push_back(std::move(io));
  return next_io_ - 1;
}

void Volume::Break(std::string why) {
  state_ = State::kBroken;
  why_ = std::move(why);
  for (const Command& command : std::exchange(early_, {})) {
    results_.push_back({command.id, Result::Status::kRefused, "", {}});
  }
}

void Volume::Answer(Op& op, Result::Status status, std::string data, std::vector<BadBlock> bad) {
  if (!op.abandoned) {
    results_.push_back({op.command.id, status, std::move(data), std::move(bad)});
  }
  const CommandId id = op.command.id;
  std::erase(spaceless_, id);
  std::erase(locked_, id);
  for (auto at = tag_waiters_.begin(); at != tag_waiters_.end();) {
    at->second.erase(id);
    at = at->second.empty() ? tag_waiters_.erase(at) : std::next(at);
  }
  const std::unique_ptr<Op> gone = std::move(ops_.at(id));
  ops_.erase(id);
  if (gone->command.kind == Command::Kind::kWrite || gone->command.kind == Command::Kind::kTrim) {
    Unlock(*gone);
  }
}

// ---- attaching ----

void Volume::Attach() {
  if (state_ != State::kNew) {
    return;
  }
  state_ = State::kAttaching;
  const std::uint64_t all = options_.size / kBlock;
  if (all < 3 || options_.most_io < 2 * kBlock) {
    return Break("an export of " + std::to_string(options_.size) +
                 " bytes is smaller than its reserved region");
  }
  Ask(IoKind::kRead, IoFor::kSuper, 0, (all - 2) * kBlock, 2 * kBlock);
}

void Volume::OnSuper(const std::string& data) {
  const std::string_view bytes(data);
  const SuperRead read = ChooseSuper(DecodeSuper(bytes.substr(0, kBlock), options_.size),
                                     DecodeSuper(bytes.substr(kBlock), options_.size));
  if (read.state != SuperState::kWhole) {
    return Break(read.what);
  }
  super_ = read.super;
  Superblock next = super_;
  ++next.epoch;
  WriteSuper(next);
}

void Volume::WriteSuper(const Superblock& super) {
  Superblock next = super;
  next.sequence = super_.sequence + 1;
  Ask(IoKind::kWrite, IoFor::kSuper, 0, super_.geometry.super_at + next.sequence % 2 * kBlock, kBlock,
      Encode(next), true);
}

void Volume::ReadJournal() {
  const Geometry& g = super_.geometry;
  journal_.assign(g.journal_size, '\0');
  for (std::uint64_t at = 0; at < g.journal_size; at += options_.most_io) {
    const auto size =
        static_cast<std::uint32_t>(std::min<std::uint64_t>(options_.most_io, g.journal_size - at));
    Ask(IoKind::kRead, IoFor::kJournal, 0, g.journal_at + at, size);
    ++journal_parts_;
  }
}

void Volume::MarkBad(std::uint64_t first, std::uint64_t count) {
  for (std::uint64_t block = first; block < first + count && block < super_.geometry.blocks; ++block) {
    overlay_.erase(block);
    bad_[block] = Looks::kRecordBad;
  }
}

// Whether a later record shows that the one of this number had been durable: then it is damaged and not
// merely cut off by a crash. The earliest of those that show it.
bool Volume::FindBeyond(std::uint64_t sequence, std::uint64_t epoch, std::uint64_t* at,
                        RecordHead* found) const {
  bool any = false;
  for (std::uint64_t i = 0; i + kSector <= journal_.size(); i += kSector) {
    const auto head = DecodeHead(std::string_view(journal_).substr(i), super_.export_id);
    if (!head || head->sequence <= sequence || head->epoch < epoch || head->durable < sequence) {
      continue;
    }
    if (any && found->sequence <= head->sequence) {
      continue;
    }
    *found = *head;
    *at = i;
    any = true;
  }
  return any;
}

void Volume::Recover(const RecordHead& head, std::uint64_t at, bool whole) {
  Record record;
  record.sequence = head.sequence;
  record.at = at;
  record.first = head.first;
  record.size = head.size;
  record.state = whole ? Record::State::kDone : Record::State::kVoid;
  record.asked = false;
  const std::string_view bytes = std::string_view(journal_).substr(at, head.size);
  for (std::size_t i = 0; whole && i < head.blocks.size(); ++i) {
    Version version;
    version.sequence = head.sequence;
    version.tag = {head.blocks[i].generation, head.blocks[i].sum, 0};
    if (head.has_data) {
      version.data = Own(std::string(DataOf(head, bytes, i)));
    }
    overlay_[head.first + i].push_back(std::move(version));
    bad_.erase(head.first + i);
  }
  last_first_ = head.first;
  last_count_ = static_cast<std::uint16_t>(head.blocks.size());
  used_ += head.size;
  records_.push_back(std::move(record));
}

void Volume::Replay() {
  std::uint64_t at = super_.tail_at;
  std::uint64_t sequence = super_.tail_sequence;
  std::uint64_t epoch = super_.tail_epoch;
  const std::uint64_t size = journal_.size();
  while (true) {
    auto head = DecodeHead(std::string_view(journal_).substr(at), super_.export_id);
    // A record of an earlier epoch than the one before it was given up by an earlier replay.
    if (head && (head->sequence != sequence || head->epoch < epoch || at + head->size > size ||
                 head->first + head->blocks.size() > super_.geometry.blocks || used_ + head->size >= size)) {
      head.reset();
    }
    if (head && DataFits(*head, std::string_view(journal_).substr(at), super_.export_id)) {
      epoch = head->epoch;
      Recover(*head, at, true);
    } else {
      RecordHead beyond;
      std::uint64_t beyond_at = 0;
      if (!FindBeyond(sequence, epoch, &beyond_at, &beyond)) {
        break;  // here the journal ends
      }
      if (head) {
        MarkBad(head->first, head->blocks.size());
        Recover(*head, at, false);
      } else if (beyond.sequence == sequence + 1 && beyond_at != at) {
        RecordHead lost;
        lost.sequence = sequence;
        lost.size = static_cast<std::uint32_t>((beyond_at > at ? beyond_at : size) - at);
        MarkBad(beyond.before_first, beyond.before_count);
        Recover(lost, at, false);
      } else {
        return Break("the journal is damaged from record " + std::to_string(sequence) +
                     " on, and which blocks that concerns cannot be told: format or restore the export");
      }
    }
    at = (at + records_.back().size) % size;
    ++sequence;
  }
  journal_ = std::string();
  head_at_ = at;
  next_sequence_ = sequence;
  acked_ = sequence - 1;
  flushed_ = super_.tail_sequence - 1;
  state_ = State::kReady;
  for (Command& command : std::exchange(early_, {})) {
    Submit(std::move(command));
  }
  Checkpoint();
}

// ---- commands ----

void Volume::Submit(Command command) {
  if (state_ == State::kBroken) {
    return results_.push_back({command.id, Result::Status::kRefused, "", {}});
  }
  if (state_ != State::kReady) {
    return early_.push_back(std::move(command));
  }
  const bool ranged = command.kind != Command::Kind::kFlush;
  const std::uint64_t end = command.offset + command.length;
  if (command.id == 0 || ops_.contains(command.id) ||
      (ranged && (command.length == 0 || end > size() || end < command.offset ||
                  (command.kind == Command::Kind::kWrite && command.data.bytes.size() != command.length)))) {
    return results_.push_back({command.id, Result::Status::kRefused, "", {}});
  }
  auto made = std::make_unique<Op>();
  Op& op = *made;
  op.command = std::move(command);
  if (op.command.kind == Command::Kind::kTrim) {  // whole blocks only: it is advice
    op.first = (op.command.offset + kBlock - 1) / kBlock;
    op.count = end / kBlock > op.first ? end / kBlock - op.first : 0;
    op.count = std::min<std::uint64_t>(op.count, kMostRecordBlocks);
  } else if (ranged) {
    op.first = op.command.offset / kBlock;
    op.count = (end - 1) / kBlock - op.first + 1;
  }
  const CommandId id = op.command.id;
  ops_[id] = std::move(made);
  if (op.command.kind == Command::Kind::kWrite &&
      (op.count > kMostRecordBlocks || RecordSize(op.count, true) > super_.geometry.journal_size / 2)) {
    return Answer(op, Result::Status::kRefused);
  }
  switch (op.command.kind) {
    case Command::Kind::kRead:
      return Load(op);
    case Command::Kind::kFlush:
      op.phase = Op::Phase::kFlush;
      Ask(IoKind::kFlush, IoFor::kBarrier, id, 0, 0);
      return;
    case Command::Kind::kTrim:
      if (op.count == 0) {
        return Answer(op, Result::Status::kDone);
      }
      [[fallthrough]];
    case Command::Kind::kWrite:
      if (Conflicts(op)) {
        op.phase = Op::Phase::kLocked;
        locked_.push_back(id);
        return;
      }
      return Begin(op);
  }
}

// A write waits for earlier ones on its blocks, and for earlier ones that wait themselves.
bool Volume::Conflicts(const Op& op) const {
  const auto at = locks_.lower_bound(op.first);
  if (at != locks_.end() && at->first < op.first + op.count) {
    return true;
  }
  for (const CommandId id : locked_) {
    if (id == op.command.id) {
      return false;
    }
    const Op& other = *ops_.at(id);
    if (other.first < op.first + op.count && op.first < other.first + other.count) {
      return true;
    }
  }
  return false;
}

void Volume::Begin(Op& op) {
  for (std::uint64_t block = op.first; block < op.first + op.count; ++block) {
    locks_[block] = op.command.id;
  }
  Load(op);
}

void Volume::Unlock(const Op& op) {
  for (std::uint64_t block = op.first; block < op.first + op.count; ++block) {
    const auto at = locks_.find(block);
    if (at != locks_.end() && at->second == op.command.id) {
      locks_.erase(at);
    }
  }
  // One after the other: each that begins may change what the next one meets.
  for (bool begun = true; begun;) {
    begun = false;
    for (const CommandId id : locked_) {
      Op& next = *ops_.at(id);
      if (Conflicts(next)) {
        continue;
      }
      std::erase(locked_, id);
      Begin(next);
      begun = true;
      break;
    }
  }
}

void Volume::Abandon(CommandId command) {
  std::erase_if(early_, [&](const Command& c) { return c.id == command; });
  const auto at = ops_.find(command);
  if (at == ops_.end()) {
    return;
  }
  Op& op = *at->second;
  op.abandoned = true;
  // What has asked the box for nothing that could run ends here.
  if (op.phase == Op::Phase::kLocked || op.phase == Op::Phase::kSpace) {
    Answer(op, Result::Status::kRefused);
  }
}

// Asks for what the command needs to know: tags of all its blocks, and data of those that it reads.
void Volume::Load(Op& op) {
  op.phase = Op::Phase::kLoading;
  op.applies = applies_;
  op.read.clear();
  op.whole = std::string();
  op.io_failed = false;
  op.tags_bad.clear();
  const CommandId id = op.command.id;
  const std::uint64_t last = op.first + op.count - 1;
  for (std::uint64_t index = TagIndex(op.first); index <= TagIndex(last); ++index) {
    if (CachedTags(index)) {
      continue;
    }
    op.tags_missing.insert(index);
    LoadTags(index, id);
  }
  const auto wants = [&](std::uint64_t block) {
    if (Newest(block) || bad_.contains(block)) {
      return false;
    }
    if (op.command.kind == Command::Kind::kTrim) {
      return false;
    }
    if (op.command.kind == Command::Kind::kWrite) {  // the ragged ends alone
      const std::uint64_t begin = block * kBlock;
      const std::uint64_t end = begin + kBlock;
      if (op.command.offset <= begin && op.command.offset + op.command.length >= end) {
        return false;
      }
    }
    const TagBlock* tags = CachedTags(TagIndex(block));
    return (tags == nullptr) || !IsHole(tags->tags[block % kTagsPerBlock]);
  };
  for (std::uint64_t block = op.first; block <= last;) {
    if (!wants(block)) {
      ++block;
      continue;
    }
    std::uint64_t end = block + 1;
    while (end <= last && wants(end) && (end + 1 - block) * kBlock <= options_.most_io) {
      ++end;
    }
    ++op.reading;
    Ask(IoKind::kRead, IoFor::kData, id, block * kBlock, static_cast<std::uint32_t>((end - block) * kBlock));
    block = end;
  }
  if (op.reading == 0 && op.tags_missing.empty()) {
    Loaded(op);
  }
}

void Volume::LoadTags(std::uint64_t index, CommandId command) {
  const bool asked = tag_waiters_.contains(index);
  tag_waiters_[index].insert(command);
  if (!asked) {
    Ask(IoKind::kRead, IoFor::kTags, command, super_.geometry.SlotAt(index, 0), 2 * kBlock);
  }
}

// Whether a slot that cannot be read must be looked at again before the other one is believed: if it is the
// newer one, and damaged on its way only, the other one's tags are old.
bool Volume::Doubtful(std::uint64_t index, const std::string& data) {
  Doubt& doubt = doubts_[index];
  const std::uint32_t sum = DataSum(data);
  doubt.times = doubt.sum == sum ? doubt.times + 1 : 1;
  doubt.sum = sum;
  if (doubt.times < kSureAfter) {
    return true;
  }
  doubts_.erase(index);
  return false;
}

void Volume::OnTags(const Io& io, IoEnd end, const std::string& data) {
  const std::uint64_t index = (io.offset - super_.geometry.tags_at) / (2 * kBlock);
  const auto waiting = tag_waiters_.find(index);
  if (waiting == tag_waiters_.end()) {
    return;
  }
  std::set<CommandId> waiters = std::move(waiting->second);
  tag_waiters_.erase(waiting);
  bool good = false;
  if (end == IoEnd::kDone && data.size() == 2 * kBlock) {
    const std::string_view bytes(data);
    auto a = DecodeTags(bytes.substr(0, kBlock), super_.export_id, index);
    auto b = DecodeTags(bytes.substr(kBlock), super_.export_id, index);
    auto& best = !a || (b && b->version > a->version) ? b : a;
    const auto known = versions_.find(index);
    const bool stale = best && known != versions_.end() && best->version < known->second;
    if (a && b && !stale) {
      doubts_.erase(index);
      good = true;
    } else {
      good = !Doubtful(index, data) && best && !stale;
    }
    if (good) {
      Cache(std::move(*best));
    }
    if (!good && !doubts_.contains(index)) {  // it is sure that nothing there holds
      TagsBad(index);
      good = true;
    }
  }
  for (const CommandId id : waiters) {
    if (id == 0) {
      if (good) {
        LoadForApply();
      } else if (end != IoEnd::kDone) {
        stage_failed_ = true;
        stage_left_ = 0;
        OnStage(IoEnd::kFailed);
      } else {
        LoadTags(index, 0);  // until it is sure
      }
      continue;
    }
    const auto at = ops_.find(id);
    if (at == ops_.end()) {
      continue;
    }
    Op& op = *at->second;
    if (!good && end != IoEnd::kDone && id != io.command) {  // another command's trouble is not this one's
      LoadTags(index, id);
      continue;
    }
    op.tags_missing.erase(index);
    if (!good && end == IoEnd::kDone) {
      op.tags_bad.insert(index);
    }
    if (!good && end != IoEnd::kDone) {
      op.io_failed = true;
    }
    if (op.reading == 0 && op.tags_missing.empty()) {
      Loaded(op);
    }
  }
}

// Neither slot holds: what the blocks hold cannot be told any more, and the new slot says so.
void Volume::TagsBad(std::uint64_t index) {
  TagBlock lost;
  lost.index = index;
  const auto known = versions_.find(index);
  lost.version = known == versions_.end() ? 1 : known->second;
  for (Tag& tag : lost.tags) {
    tag.generation = kUnknown;
  }
  Cache(std::move(lost));
}

void Volume::OnData(const Io& io, IoEnd end, std::string data) {
  const auto at = ops_.find(io.command);
  if (at == ops_.end()) {
    return;
  }
  Op& op = *at->second;
  --op.reading;
  if (end != IoEnd::kDone || data.size() != io.length) {
    op.io_failed = true;
  } else if (io.offset == op.first * kBlock && io.length == op.count * kBlock) {
    op.whole = std::move(data);
  } else {
    const Slice all = Own(std::move(data));
    for (std::uint32_t i = 0; i < io.length; i += kBlock) {
      op.read[(io.offset + i) / kBlock] = all.Part(i, kBlock);
    }
  }
  if (op.reading == 0 && op.tags_missing.empty()) {
    Loaded(op);
  }
}

std::optional<std::string_view> Volume::Came(const Op& op, std::uint64_t block) {
  if (const auto at = op.read.find(block); at != op.read.end()) {
    return at->second.bytes;
  }
  if (op.whole.empty()) {
    return std::nullopt;
  }
  return std::string_view(op.whole).substr((block - op.first) * kBlock, kBlock);
}

void Volume::Loaded(Op& op) {
  const bool reads = op.command.kind == Command::Kind::kRead;
  if (op.io_failed) {
    return Answer(op, reads ? Result::Status::kFailed : Result::Status::kRefused);
  }
  // A tag block may have been dropped again while another was awaited.
  for (std::uint64_t index = TagIndex(op.first); index <= TagIndex(op.first + op.count - 1); ++index) {
    if (!op.tags_bad.contains(index) && !CachedTags(index)) {
      return Load(op);
    }
  }
  std::vector<BadBlock> bad;
  bool again = false;
  if (!Check(op, &bad, &again)) {
    return Load(op);
  }
  if (again) {
    return Load(op);
  }
  if (reads) {
    return FinishRead(op, std::move(bad));
  }
  // A write needs its blocks' generations: it looks again until it is sure of the tags.
  if (!op.tags_bad.empty()) {
    return Load(op);
  }
  if (!bad.empty()) {
    return Answer(op, Result::Status::kDamaged, "", std::move(bad));
  }
  Journal(op);
}

// Holds what was read against its tags. False: something must be read that nobody has asked for.
bool Volume::Check(Op& op, std::vector<BadBlock>* bad, bool* again) {
  const bool writes = op.command.kind != Command::Kind::kRead;
  for (std::uint64_t block = op.first; block < op.first + op.count; ++block) {
    if (const Version* newest = Newest(block)) {  // whatever the box said
      op.read[block] = newest->data ? newest->data : kZeros;
      continue;
    }
    const std::uint64_t begin = block * kBlock;
    const bool needed =
        !writes || (op.command.kind == Command::Kind::kWrite &&
                    (op.command.offset > begin || op.command.offset + op.command.length < begin + kBlock));
    if (bad_.contains(block)) {
      if (needed) {
        bad->push_back({block, Looks::kRecordBad, 0, 0});
      }
      continue;
    }
    if (op.tags_bad.contains(TagIndex(block))) {  // a write needs the generation of every block
      bad->push_back({block, Looks::kTagsBad, 0, 0});
      continue;
    }
    if (!needed) {
      continue;
    }
    const Tag tag = TagOf(block);
    if (tag.generation == kUnknown) {
      bad->push_back({block, Looks::kTagsBad, 0, 0});
      continue;
    }
    if (IsHole(tag)) {
      op.read[block] = kZeros;
      continue;
    }
    const auto came = Came(op, block);
    if (!came) {
      return false;
    }
    if (TagSum(DataSum(*came), super_.export_id, block, tag.generation) == tag.sum) {
      continue;
    }
    // Read before, checked after a checkpoint had changed it.
    if (op.applies != applies_) {
      *again = true;
      return true;
    }
    bad->push_back(Describe(block, tag, *came));
  }
  return true;
}

BadBlock Volume::Describe(std::uint64_t block, const Tag& tag, std::string_view data) const {
  BadBlock bad;
  bad.block = block;
  bad.found = DataSum(data);
  if (tag.previous != 0 && TagSum(bad.found, super_.export_id, block, tag.generation - 1) == tag.previous) {
    bad.looks = Looks::kOld;
    return bad;
  }
  // Zeros where something had been written once for the first time are the content before that.
  if (tag.generation == 1 && data == kZeros.bytes) {
    bad.looks = Looks::kOld;
    return bad;
  }
  for (const auto& [index, cached] : tags_) {
    for (std::size_t i = 0; i < kTagsPerBlock; ++i) {
      const Tag& other = cached.tags.tags[i];
      const std::uint64_t number = index * kTagsPerBlock + i;
      if (number == block || IsHole(other) || other.generation == kUnknown) {
        continue;
      }
      if (TagSum(bad.found, super_.export_id, number, other.generation) != other.sum) {
        continue;
      }
      bad.looks = Looks::kElsewhere;
      bad.belongs_to = number;
      return bad;
    }
  }
  return bad;
}

void Volume::FinishRead(Op& op, std::vector<BadBlock> bad) {
  // The usual read: nothing of it in the journal, nothing bad, and just what came.
  if (bad.empty() && op.read.empty() && op.whole.size() == op.command.length) {
    return Answer(op, Result::Status::kDone, std::move(op.whole));
  }
  std::string data;
  data.reserve(op.command.length);
  const std::uint64_t end = op.command.offset + op.command.length;
  for (std::uint64_t block = op.first; block < op.first + op.count; ++block) {
    const std::uint64_t begin = block * kBlock;
    const std::uint64_t from = std::max(begin, op.command.offset) - begin;
    const std::uint64_t to = std::min(begin + kBlock, end) - begin;
    const bool spoilt =
        std::any_of(bad.begin(), bad.end(), [&](const BadBlock& b) { return b.block == block; });
    data.append((spoilt ? kZeros.bytes : *Came(op, block)).substr(from, to - from));
  }
  const auto status = bad.empty() ? Result::Status::kDone : Result::Status::kDamaged;
  Answer(op, status, std::move(data), std::move(bad));
}

// The whole content that a block of the write will have.
Slice Volume::Merged(const Op& op, std::uint64_t block) const {
  const std::uint64_t begin = block * kBlock;
  const std::uint64_t end = begin + kBlock;
  const std::uint64_t from = std::max(begin, op.command.offset);
  const std::uint64_t to = std::min(end, op.command.offset + op.command.length);
  if (from == begin && to == end) {
    return op.command.data.Part(from - op.command.offset, kBlock);
  }
  std::string content(*Came(op, block));
  content.replace(from - begin, to - from, op.command.data.bytes, from - op.command.offset, to - from);
  return Own(std::move(content));
}

// Each content that a block gets in place has a generation of its own: a new one as soon as the last has
// begun to be put there.
std::uint32_t Volume::Generation(std::uint64_t block) const {
  if (const Version* newest = Newest(block)) {
    const bool in_motion = stage_ != Stage::kNone && newest->sequence <= target_;
    return in_motion ? Next(newest->tag.generation) : newest->tag.generation & ~kHole;
  }
  return Next(TagOf(block).generation);
}

void Volume::Journal(Op& op) {
  const bool has_data = op.command.kind == Command::Kind::kWrite;
  const std::uint32_t size = RecordSize(op.count, has_data);
  if (!Room(size)) {
    op.phase = Op::Phase::kSpace;
    spaceless_.push_back(op.command.id);
    wanted_ = true;
    return Checkpoint();
  }
  op.phase = Op::Phase::kJournal;
  std::vector<Version> versions;
  std::vector<Slice> data;
  for (std::uint64_t block = op.first; block < op.first + op.count; ++block) {
    Version version;
    version.tag.generation = Generation(block);
    if (has_data) {
      version.data = Merged(op, block);
      version.tag.sum = TagSum(DataSum(version.data.bytes), super_.export_id, block, version.tag.generation);
      Join(&data, version.data);
    } else {
      version.tag.generation |= kHole;
    }
    versions.push_back(std::move(version));
  }
  op.read.clear();
  op.whole = std::string();
  op.command.data = Slice();
  Record& record = Append(size);
  record.command = op.command.id;
  record.first = op.first;
  for (Version& version : versions) {
    version.sequence = record.sequence;
  }
  record.versions = std::move(versions);
  RecordHead head = HeadOf(record);
  head.has_data = has_data;
  last_first_ = op.first;
  last_count_ = static_cast<std::uint16_t>(op.count);
  Write(record, head, std::move(data), options_.fua_journal);
}

void Volume::Retry() {
  for (const CommandId id : std::exchange(spaceless_, {})) {
    const auto at = ops_.find(id);
    // Its blocks are locked, but a checkpoint may have moved their tags out of memory.
    if (at != ops_.end()) {
      Load(*at->second);
    }
  }
}

// ---- the journal ----

bool Volume::Room(std::uint32_t size) const {
  const std::uint64_t all = super_.geometry.journal_size;
  const std::uint64_t skipped = head_at_ + size > all ? all - head_at_ : 0;
  return used_ + skipped + size < all;
}

RecordHead Volume::HeadOf(const Record& record) const {
  RecordHead head;
  head.sequence = record.sequence;
  head.epoch = super_.epoch;
  head.durable = flushed_;
  head.first = record.first;
  head.size = record.size;
  head.before_first = last_first_;
  head.before_count = last_count_;
  for (const Version& version : record.versions) {
    head.blocks.push_back({version.tag.generation, version.tag.sum});
  }
  return head;
}

Volume::Record& Volume::Append(std::uint32_t size) {
  const std::uint64_t all = super_.geometry.journal_size;
  const auto add = [&](std::uint32_t bytes) -> Record& {
    Record record;
    record.sequence = next_sequence_++;
    record.at = head_at_;
    record.size = bytes;
    head_at_ = (head_at_ + bytes) % all;
    used_ += bytes;
    records_.push_back(std::move(record));
    return records_.back();
  };
  if (head_at_ + size > all) {
    Record& filler = add(static_cast<std::uint32_t>(all - head_at_));
    Write(filler, HeadOf(filler), {}, options_.fua_journal);
    last_first_ = last_count_ = 0;
  }
  return add(size);
}

void Volume::Write(Record& record, const RecordHead& head, std::vector<Slice> data, bool fua) {
  std::string bytes = Encode(head, "", super_.export_id);
  record.asked = true;
  auto length = static_cast<std::uint32_t>(bytes.size());
  for (const Slice& slice : data) {
    length += static_cast<std::uint32_t>(slice.bytes.size());
  }
  const IoId id = Ask(IoKind::kWrite, IoFor::kJournal, record.failed ? 0 : record.command,
                      super_.geometry.journal_at + record.at, length, std::move(bytes), fua, std::move(data));
  ios_.at(id).offset = record.sequence;  // by which its end is found
}

Volume::Record* Volume::Find(std::uint64_t sequence) {
  if (records_.empty() || sequence < records_.front().sequence) {
    return nullptr;
  }
  const std::uint64_t index = sequence - records_.front().sequence;
  return index < records_.size() ? &records_[index] : nullptr;
}

// A record of which nobody knows whether it stands in the journal is replaced by one that changes nothing:
// only then may those behind it be answered, since a replay would end here.
void Volume::Void(Record& record) {
  RecordHead head = HeadOf(record);
  head.blocks.clear();
  Write(record, head, {}, options_.fua_journal);
}

void Volume::OnRecord(std::uint64_t sequence, IoEnd end) {
  Record* record = Find(sequence);
  if (!record) {
    return;
  }
  record->asked = false;
  if (end == IoEnd::kDone) {
    record->state = record->failed ? Record::State::kVoid : Record::State::kDone;
    return Acknowledge();
  }
  if (!std::exchange(record->failed, true)) {
    const auto at = ops_.find(record->command);
    record->versions.clear();
    Void(*record);
    if (at != ops_.end()) {
      Answer(*at->second, end == IoEnd::kNeverRan ? Result::Status::kRefused : Result::Status::kFailed);
    }
  }
  // A void one that fails as well waits for the owner's next Checkpoint: no use in asking a dead box at once.
}

void Volume::Acknowledge() {
  for (Record* next = Find(acked_ + 1); next && next->state != Record::State::kWriting;
       next = Find(acked_ + 1)) {
    ++acked_;
    if (options_.fua_journal) {
      flushed_ = acked_;
    }
    for (std::size_t i = 0; i < next->versions.size(); ++i) {
      overlay_[next->first + i].push_back(std::move(next->versions[i]));
    }
    next->versions.clear();
    const auto at = ops_.find(next->command);
    if (at == ops_.end() || next->command == 0 || next->failed) {
      continue;
    }
    Op& op = *at->second;
    if (op.command.fua && !options_.fua_journal) {
      // Not by a flag on the record: it would be durable without those before it.
      op.phase = Op::Phase::kFlush;
      Ask(IoKind::kFlush, IoFor::kBarrier, op.command.id, 0, 0);
    } else {
      Answer(op, Result::Status::kDone);
    }
  }
  if (static_cast<double>(used_) >=
      options_.checkpoint_at * static_cast<double>(super_.geometry.journal_size)) {
    Checkpoint();
  }
}

// ---- checkpoints ----

void Volume::Checkpoint() {
  if (state_ != State::kReady) {
    return;
  }
  for (Record& record : records_) {
    if (record.failed && record.state == Record::State::kWriting && !record.asked) {
      Void(record);
    }
  }
  if (stage_ != Stage::kNone || records_.empty() || acked_ < records_.front().sequence) {
    return;
  }
  target_ = acked_;
  stage_failed_ = false;
  Barrier(Stage::kBarrier);
}

void Volume::Barrier(Stage stage) {
  stage_ = stage;
  stage_left_ = 1;
  Ask(IoKind::kFlush, IoFor::kBarrier, 0, 0, 0);
}

// What goes in place: of each block the newest content that the barrier has covered, and no newer one, which
// could be there before its record is.
void Volume::LoadForApply() {
  stage_ = Stage::kTags;
  if (applying_.empty() && applying_unknown_.empty()) {
    for (const auto& [block, versions] : overlay_) {
      for (const Version& version : versions) {
        if (version.sequence <= target_) {
          applying_[block] = version;
        }
      }
    }
    for (const auto& [block, looks] : bad_) {
      if (!applying_.contains(block)) {
        applying_unknown_.insert(block);
      }
    }
  }
  std::set<std::uint64_t> needed;
  for (const auto& [block, version] : applying_) {
    needed.insert(TagIndex(block));
  }
  for (const std::uint64_t block : applying_unknown_) {
    needed.insert(TagIndex(block));
  }
  bool all = true;
  for (const std::uint64_t index : needed) {
    if (applying_tags_.contains(index)) {
      continue;
    }
    if (const TagBlock* tags = CachedTags(index)) {
      applying_tags_[index] = *tags;
      continue;
    }
    all = false;
    if (!tag_waiters_[index].contains(0)) {
      if (tag_waiters_[index].empty()) {
        tag_waiters_.erase(index);
      }
      LoadTags(index, 0);
    }
  }
  if (all) {
    Apply();
  }
}

void Volume::Apply() {
  stage_ = Stage::kApply;
  ++applies_;
  stage_left_ = 0;
  for (const auto& [block, version] : applying_) {
    Tag& tag = applying_tags_.at(TagIndex(block)).tags[block % kTagsPerBlock];
    Tag next = version.tag;
    const bool follows = !IsHole(tag) && Next(tag.generation) == (next.generation & ~kHole);
    next.previous = next.sum == tag.sum && next.generation == tag.generation ? tag.previous
                    : follows                                                ? tag.sum
                                                                             : 0;
    tag = next;
  }
  for (const std::uint64_t block : applying_unknown_) {
    applying_tags_.at(TagIndex(block)).tags[block % kTagsPerBlock] = {kUnknown, 0, 0};
  }
  std::vector<Slice> run;
  std::uint64_t start = 0;
  std::uint64_t length = 0;
  const auto put = [&] {
    if (run.empty()) {
      return;
    }
    ++stage_left_;
    Ask(IoKind::kWrite, IoFor::kApply, 0, start * kBlock, static_cast<std::uint32_t>(length), "", false,
        std::exchange(run, {}));
    length = 0;
  };
  for (const auto& [block, version] : applying_) {
    if (!version.data) {
      continue;
    }
    if (block != start + length / kBlock || length + kBlock > options_.most_io) {
      put();
    }
    if (run.empty()) {
      start = block;
    }
    Join(&run, version.data);
    length += kBlock;
  }
  put();
  for (auto& [index, tags] : applying_tags_) {
    ++tags.version;
    ++stage_left_;
    Ask(IoKind::kWrite, IoFor::kApply, 0, super_.geometry.SlotAt(index, static_cast<int>(tags.version % 2)),
        kBlock, Encode(tags, super_.export_id));
  }
  if (stage_left_ == 0) {
    Barrier(Stage::kSecondBarrier);
  }
}

void Volume::OnStage(IoEnd end) {
  if (end != IoEnd::kDone) {
    stage_failed_ = true;
  }
  if (stage_left_ > 0 && --stage_left_ > 0) {
    return;
  }
  if (stage_failed_) {  // all of it again when the owner asks: what is in place already comes to the same
    stage_ = Stage::kNone;
    applying_.clear();
    applying_unknown_.clear();
    applying_tags_.clear();
    for (auto at = tag_waiters_.begin(); at != tag_waiters_.end();) {
      at->second.erase(0);
      at = at->second.empty() ? tag_waiters_.erase(at) : std::next(at);
    }
    return;
  }
  switch (stage_) {
    case Stage::kBarrier:
      LoadForApply();
      break;
    case Stage::kApply:
      Barrier(Stage::kSecondBarrier);
      break;
    case Stage::kSecondBarrier: {
      stage_ = Stage::kSuper;
      stage_left_ = 1;
      Superblock next = super_;
      next.tail_sequence = target_ + 1;
      next.tail_epoch = super_.epoch;  // what was replayed lies before the target
      const Record* first = Find(target_ + 1);
      next.tail_at = first ? first->at : head_at_;
      WriteSuper(next);
      break;
    }
    case Stage::kSuper:
      FinishCheckpoint();
      break;
    default:
      break;
  }
}

void Volume::FinishCheckpoint() {
  ++super_.sequence;
  super_.tail_sequence = target_ + 1;
  super_.tail_epoch = super_.epoch;
  const Record* first = Find(target_ + 1);
  super_.tail_at = first ? first->at : head_at_;
  while (!records_.empty() && records_.front().sequence <= target_) {
    used_ -= records_.front().size;
    records_.pop_front();
  }
  for (const auto& [block, version] : applying_) {
    auto& versions = overlay_.at(block);
    std::erase_if(versions, [&](const Version& v) { return v.sequence <= target_; });
    if (versions.empty()) {
      overlay_.erase(block);
    }
    bad_.erase(block);
  }
  for (const std::uint64_t block : applying_unknown_) {
    bad_.erase(block);
  }
  for (auto& [index, tags] : applying_tags_) {
    Cache(std::move(tags));
  }
  applying_.clear();
  applying_unknown_.clear();
  applying_tags_.clear();
  stage_ = Stage::kNone;
  ++applies_;
  ++checkpoints_;
  Trim();
  const bool more = std::exchange(wanted_, false);
  Retry();
  if (more && wanted_) {
    Checkpoint();
  }
}

// ---- ends ----

void Volume::Ended(IoId id, IoEnd end, std::string data) {
  const auto at = ios_.find(id);
  if (at == ios_.end()) {
    return;
  }
  const Io io = at->second;
  ios_.erase(at);
  if (io.kind == IoKind::kFlush) {
    const std::uint64_t covered = flushes_.at(id);
    flushes_.erase(id);
    if (end == IoEnd::kDone) {
      flushed_ = std::max(flushed_, covered);
    }
  }
  if (state_ == State::kBroken) {
    return;
  }
  if (state_ == State::kAttaching) {
    if (end != IoEnd::kDone || (io.kind == IoKind::kRead && data.size() != io.length)) {
      journal_parts_ = 0;
      ios_.clear();
      return Break("the box did not carry out what attaching the export needs");
    }
    if (io.kind == IoKind::kRead && io.purpose == IoFor::kSuper) {
      return OnSuper(data);
    }
    if (io.kind == IoKind::kWrite) {
      ++super_.sequence;
      ++super_.epoch;
      return ReadJournal();
    }
    journal_.replace(io.offset - super_.geometry.journal_at, io.length, data);
    if (--journal_parts_ == 0) {
      Replay();
    }
    return;
  }
  switch (io.purpose) {
    case IoFor::kTags:
      return OnTags(io, end, data);
    case IoFor::kData:
      return OnData(io, end, std::move(data));
    case IoFor::kJournal:
      return OnRecord(io.offset, end);
    case IoFor::kApply:
    case IoFor::kSuper:
      return OnStage(end);
    case IoFor::kBarrier:
      if (io.command == 0) {
        return OnStage(end);
      }
      if (const auto op = ops_.find(io.command); op != ops_.end()) {
        Answer(*op->second, end == IoEnd::kDone ? Result::Status::kDone : Result::Status::kFailed);
      }
  }
}

// ---- tables ----

const Volume::Version* Volume::Newest(std::uint64_t block) const {
  const auto at = overlay_.find(block);
  return at == overlay_.end() ? nullptr : &at->second.back();
}

Tag Volume::TagOf(std::uint64_t block) const {
  return tags_.at(TagIndex(block)).tags.tags[block % kTagsPerBlock];
}

TagBlock* Volume::CachedTags(std::uint64_t index) {
  const auto at = tags_.find(index);
  if (at == tags_.end()) {
    return nullptr;
  }
  ages_.splice(ages_.begin(), ages_, at->second.age);
  return &at->second.tags;
}

void Volume::Cache(TagBlock block) {
  const std::uint64_t index = block.index;
  std::uint64_t& version = versions_[index];
  version = std::max(version, block.version);
  const auto at = tags_.find(index);
  if (at != tags_.end()) {
    at->second.tags = std::move(block);
    return;
  }
  ages_.push_front(index);
  tags_[index] = {std::move(block), ages_.begin()};
  Trim();
}

// Keeps the bound; what a checkpoint is about to write stays, since a reader must not meet it half written.
void Volume::Trim() {
  for (auto at = ages_.end(); tags_.size() > options_.most_tag_blocks && at != ages_.begin();) {
    --at;
    if (applying_tags_.contains(*at) || at == ages_.begin()) {
      continue;
    }
    tags_.erase(*at);
    at = ages_.erase(at);
  }
}

}  // namespace walnutspur::integrity
