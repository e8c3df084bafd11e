#include "checksummed/checksummed_exports.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/attempt_deadline.h"
#include "core/scheduler_thread.h"
#include "integrity/layout.h"
#include "log/event_kinds.h"
#include "log/log.h"

namespace walnutspur::checksummed {
namespace {

using integrity::CommandId;
using integrity::IoRequest;
using integrity::IoStatus;
using integrity::Volume;

// Interval between checks for a due checkpoint, us.
constexpr Time kCheckpointCheckInterval = 50'000;
// Time without writes after which a checkpoint starts, us.
constexpr Time kIdleBeforeCheckpoint = 200'000;
// Maximum time for which the journal may have records before a checkpoint starts, even during writes, us.
constexpr Time kMaxDirtyTime = 1'000'000;
// Initial and maximum backoff between attempts to attach an export, us.
constexpr Time kInitialAttachBackoff = 250'000;
constexpr Time kMaxAttachBackoff = 5'000'000;

integrity::Command ToVolumeCommand(CommandId id, const std::shared_ptr<const nbd::CommandPayload>& payload) {
  using Kind = integrity::Command::Kind;
  const nbd::Request& request = payload->request;
  integrity::Command command;
  command.id = id;
  command.kind = request.type == nbd::kRead    ? Kind::kRead
                 : request.type == nbd::kWrite ? Kind::kWrite
                                               : Kind::kFlush;
  command.offset = request.offset;
  command.length = request.length;
  command.data = {payload, request.data};
  command.fua = (request.flags & nbd::kFua) != 0;
  return command;
}

// Returns the reply to a read: the pieces of intact data between corrupt blocks, and the offsets of the
// corrupt blocks, whose data is not passed on.
std::shared_ptr<nbd::ReplyPayload> ReplyToRead(const nbd::Request& request, integrity::CommandResult result) {
  auto payload = std::make_shared<nbd::ReplyPayload>();
  const std::uint64_t end = request.offset + request.length;
  std::uint64_t from = request.offset;
  const auto add_piece = [&](std::uint64_t piece_end) {
    if (piece_end - from == result.data.size()) {
      payload->pieces.push_back({from, std::move(result.data), 0});
    } else if (piece_end > from) {
      payload->pieces.push_back({from, result.data.substr(from - request.offset, piece_end - from), 0});
    }
  };
  for (const integrity::CorruptBlock& corrupt : result.corrupt_blocks) {
    const std::uint64_t begin = std::max(corrupt.block * integrity::kBlockBytes, request.offset);
    add_piece(begin);
    payload->corrupt_offsets.push_back(begin);
    from = std::min((corrupt.block + 1) * integrity::kBlockBytes, end);
  }
  add_piece(end);
  return payload;
}

}  // namespace

ChecksummedExports::ChecksummedExports(event_base* base, const nbd::Config& config,
                                       std::size_t max_connections, CorruptionTracker* tracker,
                                       core::SubmitInput submit)
    : base_(base),
      config_(config),
      submit_(std::move(submit)),
      targets_(base, config, max_connections, [this](core::Input input) { OnInput(std::move(input)); }),
      paths_(config, tracker),
      dispatcher_(config, &targets_, &paths_,
                  {[this](std::size_t export_index) { return !exports_[export_index].suspended; },
                   [this](const ExportIo& completed, IoStatus status, std::string data) {
                     OnIoCompleted(completed, status, std::move(data));
                   }}),
      exports_(config.volumes.size()) {
  for (std::size_t i = 0; i < exports_.size(); ++i) {
    exports_[i].config = &config_.volumes[i];
    if (!exports_[i].config->checksummed) {
      continue;
    }
    exports_[i].volume = std::make_unique<Volume>(integrity::VolumeOptions{});
    exports_[i].checkpoint_timer = loop::MakeTimer(base_, [this, i] { CheckpointIfDue(i); });
    exports_[i].attach_timer = loop::MakeTimer(base_, [this, i] { Attach(i); });
  }
}

std::vector<PathStatus> ChecksummedExports::paths() {
  std::vector<PathStatus> status;
  std::set<std::string> reported;
  for (const Export& exported : exports_) {
    const std::string& target = exported.config->target;
    if (exported.volume && reported.insert(target).second) {
      paths_.AppendStatus(target, &status);
    }
  }
  return status;
}

// ---- volumes ----

void ChecksummedExports::Attach(std::size_t export_index) {
  Export& exported = exports_[export_index];
  integrity::VolumeOptions options;
  options.size = exported.config->raw_bytes;
  exported.volume = std::make_unique<Volume>(options);
  exported.failure_logged = false;
  exported.volume->Attach();
  Dispatch(export_index);
}

// Sends the volume's storage requests and reports its results until the volume has no more of either. A
// request that completes synchronously calls this function recursively; the recursive call returns
// immediately, and the outer call continues with the new requests and results.
void ChecksummedExports::Dispatch(std::size_t export_index) {
  Export& exported = exports_[export_index];
  if (std::exchange(exported.dispatching, true)) {
    return;
  }
  while (true) {
    std::vector<IoRequest> requests = exported.volume->TakeIoRequests();
    std::vector<integrity::CommandResult> results = exported.volume->TakeResults();
    if (requests.empty() && results.empty()) {
      break;
    }
    for (IoRequest& request : requests) {
      SendIo(export_index, std::move(request));
    }
    for (integrity::CommandResult& result : results) {
      OnResult(export_index, std::move(result));
    }
  }
  exported.dispatching = false;
  if (exported.volume->state() == Volume::State::kReady) {
    exported.attach_backoff = 0;
  }
  if (exported.volume->state() == Volume::State::kFailed) {
    OnAttachFailed(exported);
  }
  if (exported.volume->dirty() && exported.dirty_since == 0) {
    exported.dirty_since = core::Now();
    exported.checkpoint_timer.Start(kCheckpointCheckInterval);
  }
}

// Logs the failure once per attempt to attach and schedules the next attempt with a backoff: a target that
// did not respond may recover, and an operator may repair the export.
void ChecksummedExports::OnAttachFailed(Export& exported) {
  if (std::exchange(exported.failure_logged, true)) {
    return;
  }
  log::Event(log::Level::kError, log::kExportAttachFailed,
             {{"export", exported.config->client_export.name}, {"error", exported.volume->error()}});
  exported.attach_backoff = std::clamp(exported.attach_backoff * 2, kInitialAttachBackoff, kMaxAttachBackoff);
  if (!exported.suspended) {
    exported.attach_timer.Start(exported.attach_backoff);
  }
}

void ChecksummedExports::CheckpointIfDue(std::size_t export_index) {
  Export& exported = exports_[export_index];
  if (!exported.volume->dirty()) {
    exported.dirty_since = 0;
    return;
  }
  const Time now = core::Now();
  const bool is_due =
      now - exported.last_write >= kIdleBeforeCheckpoint || now - exported.dirty_since >= kMaxDirtyTime;
  if (is_due && !exported.suspended && !exported.volume->checkpointing()) {
    exported.dirty_since = now;
    exported.volume->Checkpoint();
    Dispatch(export_index);
  }
  exported.checkpoint_timer.Start(kCheckpointCheckInterval);
}

// ---- storage requests ----

void ChecksummedExports::SendIo(std::size_t export_index, IoRequest request) {
  Export& exported = exports_[export_index];
  if (exported.suspended) {
    return exported.volume->OnIoCompleted(request.id, IoStatus::kNotExecuted);
  }
  const auto attempt = attempts_.find(request.command);
  const int path = attempt != attempts_.end() ? attempt->second.path
                                              : paths_.Choose(*exported.config, ToNbdRequest(request));
  dispatcher_.Send({export_index, std::move(request)}, path);
}

void ChecksummedExports::OnInput(core::Input input) {
  if (const auto* result = std::get_if<core::AttemptResult>(&input);
      result && dispatcher_.OnResult(*result)) {
    return;
  }
  submit_(std::move(input));
}

void ChecksummedExports::OnIoCompleted(const ExportIo& completed, IoStatus status, std::string data) {
  Export& exported = exports_[completed.export_index];
  if (exported.volume->state() == Volume::State::kAttaching && !IsTargetSuitable(exported)) {
    status = IoStatus::kFailed;
  }
  exported.volume->OnIoCompleted(completed.request.id, status, std::move(data));
  Dispatch(completed.export_index);
}

// Returns whether the target offers flushes that cover the writes of all connections, on which the volume's
// order of writes depends.
bool ChecksummedExports::IsTargetSuitable(const Export& exported) const {
  const auto flags = targets_.flags(exported.config->target, exported.config->remote);
  if (!flags) {
    return false;  // the connection has been closed; the next attempt to attach checks again
  }
  if ((*flags & nbd::kSendFlush) && (*flags & (nbd::kSendFua | nbd::kCanMultiConn))) {
    return true;
  }
  log::Event(log::Level::kError, log::kTargetRejected,
             {{"target", exported.config->target},
              {"export", exported.config->client_export.name},
              {"reason", "checksums need a target that offers FLUSH, and FUA or CAN_MULTI_CONN"}});
  return false;
}

// ---- attempts ----

void ChecksummedExports::Start(const core::StartAttempt& attempt) {
  auto payload = std::static_pointer_cast<const nbd::CommandPayload>(attempt.payload);
  if (payload->volume < 0) {
    return targets_.Start(attempt);
  }
  const auto export_index = static_cast<std::size_t>(payload->volume);
  const CommandId id = AddAttempt(attempt, payload);
  if (exports_[export_index].suspended) {
    return Report(id, Outcome::kConnectFailed);
  }
  integrity::Command command = ToVolumeCommand(id, payload);
  if (command.kind == integrity::Command::Kind::kRead) {
    ++counts_.reads;
  } else {
    ++counts_.writes;
  }
  exports_[export_index].volume->Submit(std::move(command));
  Dispatch(export_index);
}

CommandId ChecksummedExports::AddAttempt(const core::StartAttempt& attempt,
                                         std::shared_ptr<const nbd::CommandPayload> payload) {
  const auto export_index = static_cast<std::size_t>(payload->volume);
  const CommandId id = next_command_++;
  const Time now = core::Now();
  PendingAttempt& pending = attempts_[id];
  pending.key = {attempt.request, attempt.attempt};
  pending.export_index = export_index;
  pending.started = now;
  pending.path = paths_.Choose(*exports_[export_index].config, payload->request);
  pending.payload = std::move(payload);
  pending.timeout = loop::MakeTimer(base_, [this, id] { Abandon(id, Outcome::kTimedOut); });
  pending.timeout.Start(core::ExpiresAt(attempt, now) - now);
  commands_[pending.key] = id;
  return id;
}

void ChecksummedExports::Cancel(core::RequestNumber request, int attempt) {
  const auto found = commands_.find({request, attempt});
  if (found == commands_.end()) {
    return targets_.Cancel(request, attempt);
  }
  Abandon(found->second, Outcome::kCancelled);
}

// Ends the attempt. The volume's storage requests continue, since they cannot be cancelled and the volume
// needs their results.
void ChecksummedExports::Abandon(CommandId command, Outcome outcome) {
  const auto found = attempts_.find(command);
  if (found == attempts_.end()) {
    return;
  }
  const std::size_t export_index = found->second.export_index;
  Report(command, outcome);
  exports_[export_index].volume->Abandon(command);
  Dispatch(export_index);
}

void ChecksummedExports::Report(CommandId command, Outcome outcome, core::PayloadRef payload) {
  const auto found = attempts_.find(command);
  if (found == attempts_.end()) {
    return;
  }
  const PendingAttempt& attempt = found->second;
  core::AttemptResult result;
  result.request = attempt.key.request;
  result.attempt = attempt.key.attempt;
  result.outcome = outcome;
  result.latency = core::Now() - attempt.started;
  result.payload = std::move(payload);
  commands_.erase(attempt.key);
  attempts_.erase(found);
  submit_(std::move(result));
}

void ChecksummedExports::OnResult(std::size_t export_index, integrity::CommandResult result) {
  using Status = integrity::CommandResult::Status;
  const auto found = attempts_.find(result.id);
  if (found == attempts_.end()) {
    return;
  }
  const nbd::Request& request = found->second.payload->request;
  const bool is_read = request.type == nbd::kRead;
  if (is_read) {
    ReportSuspectedCorruption(export_index, found->second, result);
  }
  const CommandId id = result.id;
  const Status status = result.status;
  if (status == Status::kRejected) {
    return Report(id, Outcome::kConnectFailed);
  }
  if (status == Status::kFailed) {
    return Report(id, Outcome::kErrored);
  }
  if (request.type == nbd::kWrite && status == Status::kCompleted) {
    exports_[export_index].last_write = core::Now();
  }
  auto payload = is_read ? ReplyToRead(request, std::move(result)) : std::make_shared<nbd::ReplyPayload>();
  // A write that would have to preserve a part of a corrupt block is not retried: no attempt can succeed.
  Report(id, status == Status::kCompleted ? Outcome::kCompleted : Outcome::kCorrupted, std::move(payload));
}

void ChecksummedExports::ReportSuspectedCorruption(std::size_t export_index, const PendingAttempt& attempt,
                                                   const integrity::CommandResult& result) {
  const std::vector<std::uint64_t> suspected =
      paths_.RecordRead(*exports_[export_index].config, attempt.payload->request, attempt.path, result);
  if (!on_suspected_corruption) {
    return;
  }
  for (const std::uint64_t block : suspected) {
    on_suspected_corruption(export_index, block);
  }
}

// ---- targets ----

void ChecksummedExports::Drain(const TargetId& target) {
  targets_.Drain(target);
  for (Export& exported : exports_) {
    if (!exported.volume || exported.config->target != target) {
      continue;
    }
    exported.suspended = true;
    exported.attach_timer.Stop();
  }
}

void ChecksummedExports::Activate(const TargetId& target) {
  for (std::size_t i = 0; i < exports_.size(); ++i) {
    Export& exported = exports_[i];
    if (!exported.volume || exported.config->target != target || !std::exchange(exported.suspended, false)) {
      continue;
    }
    if (exported.volume->state() == Volume::State::kFailed ||
        exported.volume->state() == Volume::State::kNew) {
      Attach(i);
    }
  }
}

}  // namespace walnutspur::checksummed
