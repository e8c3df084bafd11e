// Validates clients' commands and maps responses of the scheduler to NBD errors. No state; usable from any
// thread.
#ifndef WALNUTSPUR_NBD_COMMAND_H_
#define WALNUTSPUR_NBD_COMMAND_H_

#include <optional>
#include <string>

#include "core/engine.h"
#include "nbd/protocol.h"
#include "nbd/server_session.h"

namespace walnutspur::nbd {

// The error with which a command is rejected.
struct CommandError {
  Error error = kOk;
  const char* message = "";
};

// Checks that a command's range is well-formed and lies within the export. Returns nullopt if it does.
std::optional<CommandError> CheckRange(const Request& request, const Export& target_export);

// Maps a response status to an NBD error. This is the only such mapping; docs/architecture.md shows it.
Error ErrorOf(core::ResponseStatus status);

// Encodes the scheduler's response to a command. The payload must be a ReplyPayload; it may be null
// unless the command was served.
std::string EncodeResponse(const ServerSession& session, std::uint64_t cookie,
                           const core::Response& response);

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_COMMAND_H_
