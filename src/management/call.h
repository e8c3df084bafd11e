// Parses the calls of the operators' staff and formats the replies to them.
//
// A call is one line: `health`, `cordon ID` or `uncordon ID`, where ID is a target's id in the endpoint list.
// Its reply is one line that begins with "done" or "error". Uses no I/O and no state; any thread.
#ifndef WALNUTSPUR_MANAGEMENT_CALL_H_
#define WALNUTSPUR_MANAGEMENT_CALL_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

#include "walnutspur/types.h"

namespace walnutspur::management {

// Maximum length of a call without its line end, bytes.
constexpr std::size_t kMaxCallBytes = 512;

enum class CallKind { kHealth, kCordon, kUncordon };

struct Call {
  CallKind kind = CallKind::kHealth;
  TargetId target;  // empty for kHealth
};

// A line that is not a call.
struct CallError {
  std::string message;
};

// Parses a line without its LF; a CR at its end is ignored.
std::variant<Call, CallError> ParseCall(std::string_view line);

// Returns the reply line, with its LF. Control characters of `text` are replaced, so that a call that is
// quoted in its reply cannot add a line.
std::string FormatDone(std::string_view text);
std::string FormatError(std::string_view text);

}  // namespace walnutspur::management

#endif  // WALNUTSPUR_MANAGEMENT_CALL_H_
