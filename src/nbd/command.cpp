#include "nbd/command.h"

#include "nbd/payload.h"

namespace walnutspur::nbd {
namespace {

constexpr Time kMicrosecondsPerMillisecond = 1000;

// Returns the error message for a response other than kServed.
std::string FailureMessage(const core::Response& response) {
  switch (response.status) {
    case core::ResponseStatus::kRejected:
      return "refused: come back in " + std::to_string(response.retry_after / kMicrosecondsPerMillisecond) +
             " ms";
    case core::ResponseStatus::kTimedOut:
      return "timed out";
    default:
      return "failed";
  }
}

void EncodeServed(const ServerSession& session, std::uint64_t cookie, const ReplyPayload& payload,
                  std::string* out) {
  if (payload.pieces.empty()) {
    session.Reply(cookie, kOk, "", out);
  } else {
    session.Reply(cookie, payload.pieces, out);
  }
}

}  // namespace

std::optional<CommandError> CheckRange(const Request& request, const Export& target_export) {
  if (request.type == kFlush) {
    if (request.length != 0 || request.offset != 0) {
      return CommandError{kInvalid, "a flush has no range"};
    }
    return std::nullopt;
  }
  if (request.length == 0) {
    return CommandError{kInvalid, "no length"};
  }
  if (request.oversized || request.length > target_export.max_command_bytes) {
    return CommandError{kOverflow, "too long"};
  }
  if (request.offset > target_export.size || request.length > target_export.size - request.offset) {
    return CommandError{request.type == kWrite ? kNoSpace : kInvalid, "past the end"};
  }
  return std::nullopt;
}

Error ErrorOf(core::ResponseStatus status) {
  switch (status) {
    case core::ResponseStatus::kServed:
      return kOk;
    case core::ResponseStatus::kRejected:
      return kNoMemory;  // lack of resources; a retry is harmless
    case core::ResponseStatus::kFailed:
    case core::ResponseStatus::kTimedOut:
      return kIo;  // unknown whether the command took effect
    case core::ResponseStatus::kDuplicate:
      return kInvalid;
  }
  return kIo;
}

std::string EncodeResponse(const ServerSession& session, std::uint64_t cookie,
                           const core::Response& response) {
  std::string out;
  const auto* payload = static_cast<const ReplyPayload*>(response.payload.get());
  if (response.status == core::ResponseStatus::kServed) {
    EncodeServed(session, cookie, *payload, &out);
  } else if (payload != nullptr && !payload->corrupt_offsets.empty()) {
    session.Reply(cookie, payload->pieces, payload->corrupt_offsets, &out);
  } else {
    session.Reply(cookie, ErrorOf(response.status), FailureMessage(response), &out);
  }
  return out;
}

}  // namespace walnutspur::nbd
