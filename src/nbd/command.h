// Checks of clients' commands, and the errors that they are answered with. No state; any thread.
#ifndef WALNUTSPUR_NBD_COMMAND_H_
#define WALNUTSPUR_NBD_COMMAND_H_

#include <optional>
#include <string>

#include "core/engine.h"
#include "nbd/protocol.h"
#include "nbd/server_session.h"

namespace walnutspur::nbd {

// Why a command is not run.
struct CommandError {
  Error error = kOk;
  const char* message = "";
};

// Checks that a command's range is complete and lies within the export. Empty: it does.
std::optional<CommandError> CheckRange(const Request& request, const Export& target_export);

// The one mapping from response statuses to NBD errors; docs/architecture.md shows it.
Error ErrorOf(core::ResponseStatus status);

// Encodes the scheduler's response to a command, whose payload is a ReplyPayload.
std::string EncodeResponse(const ServerSession& session, std::uint64_t cookie,
                           const core::Response& response);

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_COMMAND_H_
