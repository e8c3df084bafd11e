// Formats and parses the messages between a process and the one that replaces it.
//
// Each message is a JSON object on one line. Unknown kinds and keys are ignored, so that different versions
// can replace each other. Uses no I/O and no state; any thread.
#ifndef WALNUTSPUR_UPGRADE_HANDOVER_MESSAGE_H_
#define WALNUTSPUR_UPGRADE_HANDOVER_MESSAGE_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "walnutspur/types.h"

namespace walnutspur::upgrade {

// A new process has connected and requests the state.
struct JoinRequest {};

// The state that a process passes to its successor.
struct ProcessState {
  std::string discovery;         // address of the service that sent the list
  nlohmann::json endpoint_list;  // in discovery's format; null: none
  std::vector<TargetId> cordoned;
};

// The sender serves clients; the older process can hand them over.
struct ReadyNotice {};

// An operator has cordoned a target at the sender, or ended its cordon.
struct CordonNotice {
  TargetId target;
  bool cordoned = true;
};

using HandoverMessage = std::variant<JoinRequest, ProcessState, ReadyNotice, CordonNotice>;

// Returns the message as a line with its LF.
std::string FormatMessage(const HandoverMessage& message);

// Parses a line without its LF. Returns nullopt if it is malformed or of an unknown kind.
std::optional<HandoverMessage> ParseMessage(std::string_view line);

}  // namespace walnutspur::upgrade

#endif  // WALNUTSPUR_UPGRADE_HANDOVER_MESSAGE_H_
