// Tests how calls of the operators' staff are parsed and replies are formatted.
#include <doctest/doctest.h>

#include <string>
#include <variant>

#include "management/call.h"
#include "management/server.h"

namespace walnutspur::test {
namespace {

using management::Call;
using management::CallError;
using management::CallKind;
using management::ParseCall;

// Returns the error of a line that is not a call, or an empty string.
std::string ErrorOf(const std::string& line) {
  const auto parsed = ParseCall(line);
  const auto* error = std::get_if<CallError>(&parsed);
  return error == nullptr ? "" : error->message;
}

TEST_CASE("management call: each call is parsed with its target; blanks and a CR around it are ignored") {
  const auto is_call = [](const std::string& line, CallKind kind, const TargetId& target) {
    const auto parsed = ParseCall(line);
    const auto* call = std::get_if<Call>(&parsed);
    return call != nullptr && call->kind == kind && call->target == target;
  };
  CHECK(is_call("health", CallKind::kHealth, ""));
  CHECK(is_call(" health \r", CallKind::kHealth, ""));
  CHECK(is_call("cordon s-5be2a07c", CallKind::kCordon, "s-5be2a07c"));
  CHECK(is_call("uncordon   s-5be2a07c\r", CallKind::kUncordon, "s-5be2a07c"));
  CHECK(is_call("cordon an id with blanks", CallKind::kCordon, "an id with blanks"));
}

TEST_CASE("management call: any other line is an error that names what is allowed") {
  CHECK(ErrorOf("") == "unknown call \"\"; allowed: health, cordon ID, uncordon ID");
  CHECK(ErrorOf("HEALTH") == "unknown call \"HEALTH\"; allowed: health, cordon ID, uncordon ID");
  CHECK(ErrorOf("drain s-1") == "unknown call \"drain\"; allowed: health, cordon ID, uncordon ID");
  CHECK(ErrorOf("cordon") == "cordon requires the id of a target");
  CHECK(ErrorOf("uncordon  \r") == "uncordon requires the id of a target");
  CHECK(ErrorOf("health now") == "health takes no argument, got \"now\"");
  CHECK(ErrorOf(std::string(500, 'x')).size() < 150);
}

TEST_CASE("management reply: a quoted call cannot add a line to its reply") {
  CHECK(management::FormatDone("serving") == "done serving\n");
  CHECK(management::FormatError("a\r\ndone\x7f") == "error a??done?\n");
}

TEST_CASE("management server: the number of connections follows the descriptors, within bounds") {
  CHECK(management::MaxConnections(0) == 4);
  CHECK(management::MaxConnections(192) == 12);
  CHECK(management::MaxConnections(1 << 20) == 64);
}

}  // namespace
}  // namespace walnutspur::test
