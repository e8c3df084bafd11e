#include "checksummed/checksummed_exports.h"

#include <algorithm>
#include <utility>

#include "core/scheduler_thread.h"
#include "log/log.h"

namespace walnutspur::checksummed {
namespace {

using integrity::CommandId;
using integrity::Io;
using integrity::IoEnd;
using integrity::IoFor;
using integrity::IoKind;
using integrity::Volume;

constexpr core::RequestNumber kOwn = core::RequestNumber{1}
                                     << 63;  // from here on serials are those of what is asked of boxes
constexpr Time kIoLimit = 2'000'000;         // us for what no client waits for, or no longer
constexpr Time kTick = 50'000;               // us between looks at what is not in place yet
constexpr Time kAtRest = 200'000;            // us without writes after which a checkpoint begins
constexpr Time kMostDirty = 1'000'000;       // us after which one begins in any case
constexpr Time kLeastRest = 250'000, kMostRest = 5'000'000;  // us between tries at a box that fails

}  // namespace

ChecksummedExports::ChecksummedExports(event_base* base, const nbd::Config& config, std::size_t most,
                                       CorruptionTracker* damages, core::SubmitInput post)
    : base_(base),
      config_(config),
      damages_(damages),
      post_(std::move(post)),
      boxes_(base, config, most, [this](core::Input input) { Post(std::move(input)); }),
      next_asked_(kOwn) {
  for (const nbd::Target& box : config_.targets) {
    paths_.emplace(box.id, integrity::Paths(static_cast<int>(box.addresses.size())));
  }
  exports_.resize(config_.volumes.size());
  for (std::size_t i = 0; i < exports_.size(); ++i) {
    exports_[i].config = &config_.volumes[i];
    if (!exports_[i].config->checksummed) {
      continue;
    }
    exports_[i].held = true;  // until the list says that its box is live
    exports_[i].volume = std::make_unique<Volume>(integrity::VolumeOptions{});
    exports_[i].tick = loop::MakeTimer(base_, [this, i] { Tick(i); });
    exports_[i].again = loop::MakeTimer(base_, [this, i] { Attach(i); });
  }
}

std::vector<ChecksummedExports::PathStatus> ChecksummedExports::paths() {
  std::vector<PathStatus> all;
  std::set<std::string> told;
  for (const Export& e : exports_) {
    if (!e.volume || !told.insert(e.config->target).second) {
      continue;
    }
    const int count = paths_.at(e.config->target).count();
    for (int path = 0; path < count; ++path) {
      all.push_back({e.config->target, path, PathOf(e.config->target, path)});
    }
  }
  return all;
}

integrity::PathState ChecksummedExports::PathOf(const std::string& box, int path) {
  return paths_.at(box).StateOf(path, core::Now());
}

integrity::Place ChecksummedExports::PlaceOf(const Export& e, std::uint64_t block) const {
  return {e.config->target, e.config->remote, block};
}

// ---- volumes ----

void ChecksummedExports::Attach(std::size_t number) {
  Export& e = exports_[number];
  integrity::VolumeOptions options;
  options.size = e.config->raw_bytes;
  e.volume = std::make_unique<Volume>(options);
  e.told = false;
  e.volume->Attach();
  Pump(number);
}

// Carries out what the volume asks for and hands on what it answers, until it has no more of either. What
// ends at once comes back here by another call, which leaves it to the first.
void ChecksummedExports::Pump(std::size_t number) {
  Export& e = exports_[number];
  if (std::exchange(e.pumping, true)) {
    return;
  }
  while (true) {
    std::vector<Io> ios = e.volume->TakeIo();
    std::vector<integrity::Result> results = e.volume->TakeResults();
    if (ios.empty() && results.empty()) {
      break;
    }
    for (Io& io : ios) {
      Launch(number, std::move(io));
    }
    for (integrity::Result& result : results) {
      OnResult(number, std::move(result));
    }
  }
  e.pumping = false;
  if (e.volume->state() == Volume::State::kReady) {
    e.rest = 0;
  }
  if (e.volume->state() == Volume::State::kBroken && !std::exchange(e.told, true)) {
    log::Event(log::Level::kError, "export_not_attached",
               {{"export", e.config->front.name}, {"what", e.volume->why()}});
    // A box that did not answer may come back; what stands there will not change by itself, but an operator
    // may restore it meanwhile.
    e.rest = std::clamp(e.rest * 2, kLeastRest, kMostRest);
    if (!e.held) {
      e.again.Start(e.rest);
    }
  }
  if (e.volume->dirty() && e.dirty_since == 0) {
    e.dirty_since = core::Now();
    e.tick.Start(kTick);
  }
}

void ChecksummedExports::Tick(std::size_t number) {
  Export& e = exports_[number];
  if (!e.volume->dirty()) {
    e.dirty_since = 0;
    return;
  }
  const Time now = core::Now();
  if (!e.held && !e.volume->checkpointing() &&
      (now - e.written >= kAtRest || now - e.dirty_since >= kMostDirty)) {
    e.dirty_since = now;
    e.volume->Checkpoint();
    Pump(number);
  }
  e.tick.Start(kTick);
}

void ChecksummedExports::Launch(std::size_t number, Io io) {
  Export& e = exports_[number];
  if (e.held) {
    return e.volume->Ended(io.id, IoEnd::kNeverRan);
  }
  nbd::Request request;
  request.type = io.kind == IoKind::kRead    ? nbd::kRead
                 : io.kind == IoKind::kWrite ? nbd::kWrite
                                             : nbd::kFlush;
  request.offset = io.kind == IoKind::kFlush ? 0 : io.offset;
  request.length = io.length;
  request.data = std::move(io.data);
  std::vector<integrity::Slice> tail = std::move(io.tail);
  const auto out = out_.find(io.command);
  const int path = out != out_.end() ? out->second.path : Choose(e, request);
  Asked asked{number, std::move(io), false};
  Ask(asked, std::move(request), path, std::move(tail));
}

void ChecksummedExports::Ask(const Asked& asked, nbd::Request request, int path,
                             std::vector<integrity::Slice> tail) {
  const Export& e = exports_[asked.number];
  auto payload = std::make_shared<nbd::CommandPayload>();
  payload->request = std::move(request);
  payload->tail = std::move(tail);
  payload->remote = e.config->remote;
  payload->path = path;
  core::StartAttempt attempt;
  attempt.request = next_asked_++;
  attempt.protocol = core::Protocol::kInternal;
  attempt.target = e.config->target;
  attempt.timeout = kIoLimit;
  attempt.payload = std::move(payload);
  asked_[attempt.request] = asked;
  boxes_.Start(attempt);
}

void ChecksummedExports::Post(core::Input input) {
  if (const auto* ended = std::get_if<core::AttemptResult>(&input); ended && ended->request >= kOwn) {
    return OnIo(*ended);
  }
  post_(std::move(input));
}

// The order that the journal rests on is a flush's to keep, over all connections: before anything is written
// the box must have said that it can.
bool ChecksummedExports::Fits(const Export& e) const {
  const auto flags = boxes_.flags(e.config->target, e.config->remote);
  if (!flags) {
    return false;  // the connection has ended meanwhile: the next try asks again
  }
  if ((*flags & nbd::kSendFlush) && (*flags & (nbd::kSendFua | nbd::kCanMultiConn))) {
    return true;
  }
  log::Event(log::Level::kError, "box_unfit",
             {{"box", e.config->target},
              {"export", e.config->front.name},
              {"what", "checksums need a box that offers FLUSH, and FUA or CAN_MULTI_CONN"}});
  return false;
}

void ChecksummedExports::OnIo(const core::AttemptResult& ended) {
  const auto at = asked_.find(ended.request);
  if (at == asked_.end()) {
    return;
  }
  Asked asked = std::move(at->second);
  asked_.erase(at);
  Export& e = exports_[asked.number];
  const bool never = ended.outcome == Outcome::kConnectFailed || ended.outcome == Outcome::kOverloaded;
  IoEnd end = ended.outcome == Outcome::kCompleted ? IoEnd::kDone
              : never && !asked.syncing            ? IoEnd::kNeverRan
                                                   : IoEnd::kFailed;
  if (end == IoEnd::kDone && asked.io.fua && !asked.syncing && !e.held) {
    // Durable by a flush: not every box knows the flag.
    asked.syncing = true;
    nbd::Request flush;
    flush.type = nbd::kFlush;
    return Ask(asked, std::move(flush), Choose(e, flush));
  }
  if (end == IoEnd::kDone && asked.io.fua && !asked.syncing) {
    end = IoEnd::kFailed;
  }
  if (e.volume->state() == Volume::State::kAttaching && !Fits(e)) {
    end = IoEnd::kFailed;
  }
  std::string data;
  if (end == IoEnd::kDone && asked.io.kind == IoKind::kRead) {
    // What the boxes made for this attempt alone: its bytes may be taken out of it.
    auto payload = std::const_pointer_cast<core::Payload>(ended.payload);
    auto& pieces = static_cast<nbd::ReplyPayload&>(*payload).pieces;
    if (pieces.size() == 1 && pieces[0].hole == 0) {
      data = std::exchange(pieces[0].data, {});
    }
    for (const nbd::Piece& piece : pieces) {
      piece.hole > 0 ? data.append(piece.hole, '\0') : data.append(piece.data);
    }
  }
  e.volume->Ended(asked.io.id, end, std::move(data));
  Pump(asked.number);
}

// ---- attempts ----

// A path by which the blocks have not met a mismatch yet, where there are several.
int ChecksummedExports::Choose(const Export& e, const nbd::Request& request) {
  integrity::Paths& paths = paths_.at(e.config->target);
  std::set<int> avoid;
  if (paths.count() > 1 && damages_->cases().open() > 0 && request.type == nbd::kRead && request.length > 0) {
    const std::uint64_t last = (request.offset + request.length - 1) / integrity::kBlock;
    for (std::uint64_t block = request.offset / integrity::kBlock; block <= last; ++block) {
      for (const int path : damages_->cases().PathsOf(PlaceOf(e, block))) {
        avoid.insert(path);
      }
    }
  }
  return paths.Choose(core::Now(), avoid);
}

void ChecksummedExports::Start(const core::StartAttempt& attempt) {
  auto payload = std::static_pointer_cast<const nbd::CommandPayload>(attempt.payload);
  if (payload->volume < 0) {
    return boxes_.Start(attempt);
  }
  const auto number = static_cast<std::size_t>(payload->volume);
  Export& e = exports_[number];
  const CommandId id = next_command_++;
  Out& out = out_[id];
  out.key = {attempt.request, attempt.attempt};
  out.number = number;
  out.sent = core::Now();
  out.payload = payload;
  out.path = Choose(e, payload->request);
  out.limit = loop::MakeTimer(base_, [this, id] { GiveUp(id, Outcome::kTimedOut); });
  out.limit.Start(attempt.timeout);
  commands_[out.key] = id;
  if (e.held) {
    return Report(id, Outcome::kConnectFailed);
  }
  using Kind = integrity::Command::Kind;
  integrity::Command command;
  command.id = id;
  command.kind = payload->request.type == nbd::kRead    ? Kind::kRead
                 : payload->request.type == nbd::kWrite ? Kind::kWrite
                                                        : Kind::kFlush;
  command.offset = payload->request.offset;
  command.length = payload->request.length;
  command.data = {payload, payload->request.data};
  command.fua = (payload->request.flags & nbd::kFua) != 0;
  ++(command.kind == Kind::kRead ? counts_.reads : counts_.writes);
  e.volume->Submit(std::move(command));
  Pump(number);
}

void ChecksummedExports::Cancel(core::RequestNumber serial, int trial) {
  const auto at = commands_.find({serial, trial});
  if (at == commands_.end()) {
    return boxes_.Cancel(serial, trial);
  }
  GiveUp(at->second, Outcome::kCancelled);
}

// What the volume has under way for it goes on: it cannot be called back, and the volume must know how it
// ends.
void ChecksummedExports::GiveUp(CommandId command, Outcome outcome) {
  const auto at = out_.find(command);
  if (at == out_.end()) {
    return;
  }
  const std::size_t number = at->second.number;
  Report(command, outcome);
  exports_[number].volume->Abandon(command);
  Pump(number);
}

void ChecksummedExports::Report(CommandId command, Outcome outcome, core::PayloadRef payload) {
  const auto at = out_.find(command);
  if (at == out_.end()) {
    return;
  }
  core::AttemptResult ended;
  ended.request = at->second.key.first;
  ended.attempt = at->second.key.second;
  ended.outcome = outcome;
  ended.latency = core::Now() - at->second.sent;
  ended.payload = std::move(payload);
  commands_.erase(at->second.key);
  out_.erase(at);
  post_(std::move(ended));
}

void ChecksummedExports::OnResult(std::size_t number, integrity::Result result) {
  const auto at = out_.find(result.id);
  if (at == out_.end()) {
    return;
  }
  const Out& out = at->second;
  const nbd::Request& request = out.payload->request;
  Export& e = exports_[number];
  const bool reads = request.type == nbd::kRead;
  if (reads) {
    Judge(number, out, result);
  }
  switch (result.status) {
    case integrity::Result::Status::kRefused:
      return Report(result.id, Outcome::kConnectFailed);
    case integrity::Result::Status::kFailed:
      return Report(result.id, Outcome::kErrored);
    case integrity::Result::Status::kDone:
    case integrity::Result::Status::kDamaged:
      break;
  }
  auto payload = std::make_shared<nbd::ReplyPayload>();
  if (reads) {
    // Around the bad blocks lie good pieces; of the bad ones not a byte is passed on.
    const std::uint64_t end = request.offset + request.length;
    std::uint64_t from = request.offset;
    const auto piece = [&](std::uint64_t to) {
      if (to - from == result.data.size()) {
        payload->pieces.push_back({from, std::move(result.data), 0});
      } else if (to > from) {
        payload->pieces.push_back({from, result.data.substr(from - request.offset, to - from), 0});
      }
    };
    for (const integrity::BadBlock& bad : result.bad) {
      const std::uint64_t begin = std::max(bad.block * integrity::kBlock, request.offset);
      piece(begin);
      payload->bad.push_back(begin);
      from = std::min((bad.block + 1) * integrity::kBlock, end);
    }
    piece(end);
  } else if (request.type == nbd::kWrite && result.status == integrity::Result::Status::kDone) {
    e.written = core::Now();
  }
  const bool whole = result.status == integrity::Result::Status::kDone;
  // A write that would have to keep part of a damaged block has changed nothing, but no other try would
  // either.
  Report(result.id, whole ? Outcome::kCompleted : Outcome::kCorrupted, std::move(payload));
}

void ChecksummedExports::Judge(std::size_t number, const Out& out, const integrity::Result& result) {
  const Export& e = exports_[number];
  const Time now = core::Now();
  integrity::Paths& paths = paths_.at(e.config->target);
  if (result.status == integrity::Result::Status::kDone) {
    paths.Good(out.path, now);
    if (damages_->calm()) {
      return;
    }
  } else if (result.status != integrity::Result::Status::kDamaged) {
    return;
  }
  const nbd::Request& request = out.payload->request;
  const std::uint64_t last = (request.offset + request.length - 1) / integrity::kBlock;
  for (std::uint64_t block = request.offset / integrity::kBlock; block <= last; ++block) {
    const integrity::Place place = PlaceOf(e, block);
    const auto bad = std::find_if(result.bad.begin(), result.bad.end(),
                                  [&](const integrity::BadBlock& b) { return b.block == block; });
    integrity::Reading reading;
    reading.path = out.path;
    reading.good = bad == result.bad.end();
    if (!reading.good) {
      reading.looks = bad->looks;
      reading.found = bad->found;
      reading.belongs_to = bad->belongs_to;
    }
    const auto verdict = damages_->Note(place, paths.count(), reading, now);
    if (verdict) {
      if (verdict->fault == integrity::Fault::kPath) {
        paths.Bad(verdict->path, now);
      }
    } else if (!reading.good && on_suspected_corruption) {
      on_suspected_corruption(number, block);
    }
  }
}

// ---- the list of boxes ----

void ChecksummedExports::Drain(const TargetId& target) {
  boxes_.Drain(target);
  for (Export& e : exports_) {
    if (!e.volume || e.config->target != target) {
      continue;
    }
    e.held = true;
    e.again.Stop();
  }
}

void ChecksummedExports::Activate(const TargetId& target) {
  for (std::size_t i = 0; i < exports_.size(); ++i) {
    Export& e = exports_[i];
    if (!e.volume || e.config->target != target || !std::exchange(e.held, false)) {
      continue;
    }
    if (e.volume->state() == Volume::State::kBroken || e.volume->state() == Volume::State::kNew) {
      Attach(i);
    }
  }
}

}  // namespace walnutspur::checksummed
