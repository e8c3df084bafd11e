#include "checksummed/io_dispatcher.h"

#include <memory>
#include <utility>

namespace walnutspur::checksummed {
namespace {

using integrity::IoKind;
using integrity::IoStatus;

// First request number of storage requests. The request numbers of the scheduler are lower.
constexpr core::RequestNumber kFirstInternalRequest = core::RequestNumber{1} << 63;
// Timeout of a storage request, us.
constexpr Time kIoTimeout = 2'000'000;

IoStatus StatusOf(const core::AttemptResult& result, bool is_flushing) {
  switch (result.outcome) {
    case Outcome::kCompleted:
      return IoStatus::kCompleted;
    case Outcome::kConnectFailed:
    case Outcome::kOverloaded:
      // Before a flush starts, the write has already been executed.
      return is_flushing ? IoStatus::kFailed : IoStatus::kNotExecuted;
    default:
      return IoStatus::kFailed;
  }
}

// Moves the data out of the reply. The reply is not shared: it was created for this attempt only.
std::string TakeData(const core::AttemptResult& result) {
  auto payload = std::const_pointer_cast<core::Payload>(result.payload);
  auto& pieces = static_cast<nbd::ReplyPayload&>(*payload).pieces;
  std::string data;
  if (pieces.size() == 1 && pieces[0].hole_bytes == 0) {
    return std::exchange(pieces[0].data, {});
  }
  for (const nbd::Piece& piece : pieces) {
    if (piece.hole_bytes > 0) {
      data.append(piece.hole_bytes, '\0');
    } else {
      data.append(piece.data);
    }
  }
  return data;
}

}  // namespace

nbd::Request ToNbdRequest(const integrity::IoRequest& volume_request) {
  nbd::Request request;
  request.length = volume_request.length;
  switch (volume_request.kind) {
    case IoKind::kRead:
      request.type = nbd::kRead;
      request.offset = volume_request.offset;
      break;
    case IoKind::kWrite:
      request.type = nbd::kWrite;
      request.offset = volume_request.offset;
      break;
    case IoKind::kFlush:
      request.type = nbd::kFlush;
      break;
  }
  return request;
}

IoDispatcher::IoDispatcher(const nbd::Config& config, nbd::TargetPool* targets, PathTracker* paths,
                           Callbacks callbacks)
    : config_(config),
      targets_(targets),
      paths_(paths),
      callbacks_(std::move(callbacks)),
      next_request_(kFirstInternalRequest) {}

void IoDispatcher::Send(ExportIo export_io, int path) {
  nbd::Request request = ToNbdRequest(export_io.request);
  request.data = std::exchange(export_io.request.data, {});
  std::vector<integrity::Slice> tail = std::exchange(export_io.request.tail, {});
  StartAttempt({std::move(export_io), false}, std::move(request), path, std::move(tail));
}

void IoDispatcher::StartAttempt(PendingIo pending, nbd::Request request, int path,
                                std::vector<integrity::Slice> tail) {
  const nbd::Volume& volume = config_.volumes[pending.io.export_index];
  auto payload = std::make_shared<nbd::CommandPayload>();
  payload->request = std::move(request);
  payload->tail = std::move(tail);
  payload->remote = volume.remote;
  payload->path = path;
  core::StartAttempt attempt;
  attempt.request = next_request_++;
  attempt.protocol = core::Protocol::kInternal;
  attempt.target = volume.target;
  attempt.timeout = kIoTimeout;
  attempt.payload = std::move(payload);
  pending_[attempt.request] = std::move(pending);
  targets_->Start(attempt);
}

bool IoDispatcher::OnResult(const core::AttemptResult& result) {
  if (result.request < kFirstInternalRequest) {
    return false;
  }
  const auto found = pending_.find(result.request);
  if (found != pending_.end()) {
    PendingIo pending = std::move(found->second);
    pending_.erase(found);
    Complete(std::move(pending), result);
  }
  return true;
}

void IoDispatcher::Complete(PendingIo pending, const core::AttemptResult& result) {
  IoStatus status = StatusOf(result, pending.is_flushing);
  const integrity::IoRequest& request = pending.io.request;
  if (status == IoStatus::kCompleted && request.fua && !pending.is_flushing) {
    if (callbacks_.is_available(pending.io.export_index)) {
      pending.is_flushing = true;
      nbd::Request flush;
      flush.type = nbd::kFlush;
      const int path = paths_->Choose(config_.volumes[pending.io.export_index], flush);
      return StartAttempt(std::move(pending), std::move(flush), path);
    }
    status = IoStatus::kFailed;
  }
  std::string data;
  if (status == IoStatus::kCompleted && request.kind == IoKind::kRead) {
    data = TakeData(result);
  }
  callbacks_.on_completed(pending.io, status, std::move(data));
}

}  // namespace walnutspur::checksummed
