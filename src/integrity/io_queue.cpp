#include "integrity/io_queue.h"

#include <utility>

namespace walnutspur::integrity {

void IoQueue::Issue(IoRequest request, std::uint64_t record_sequence) {
  request.id = next_id_++;
  pending_[request.id] = {request.kind,   request.purpose, request.command,
                          request.offset, request.length,  record_sequence};
  requests_.push_back(std::move(request));
}

void IoQueue::IssueRead(IoPurpose purpose, CommandId command, std::uint64_t offset, std::uint32_t length) {
  IoRequest request;
  request.kind = IoKind::kRead;
  request.purpose = purpose;
  request.command = command;
  request.offset = offset;
  request.length = length;
  Issue(std::move(request));
}

void IoQueue::IssueFlush(CommandId command, std::uint64_t acknowledged_sequence) {
  IoRequest request;
  request.kind = IoKind::kFlush;
  request.purpose = IoPurpose::kBarrier;
  request.command = command;
  Issue(std::move(request), acknowledged_sequence);
}

std::optional<PendingIo> IoQueue::Complete(IoId id) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) {
    return std::nullopt;
  }
  const PendingIo pending = found->second;
  pending_.erase(found);
  return pending;
}

std::vector<IoRequest> IoQueue::TakeRequests() { return std::exchange(requests_, {}); }

}  // namespace walnutspur::integrity
