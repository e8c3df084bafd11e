#include "management/call.h"

#include <algorithm>

namespace walnutspur::management {
namespace {

constexpr std::string_view kBlanks = " \t\r";

// Maximum number of bytes of a call that an error quotes.
constexpr std::size_t kMaxQuotedBytes = 64;

std::string_view Trim(std::string_view text) {
  const std::size_t begin = text.find_first_not_of(kBlanks);
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(kBlanks) - begin + 1);
}

std::string Quote(std::string_view text) {
  return "\"" + std::string(text.substr(0, kMaxQuotedBytes)) + "\"";
}

std::string FormatReply(std::string_view result, std::string_view text) {
  std::string reply(result);
  reply += " ";
  reply += text;
  std::replace_if(
      reply.begin(), reply.end(),
      [](char byte) { return static_cast<unsigned char>(byte) < ' ' || byte == '\x7f'; }, '?');
  return reply + "\n";
}

}  // namespace

std::variant<Call, CallError> ParseCall(std::string_view line) {
  const std::string_view call = Trim(line);
  const std::string_view verb = call.substr(0, call.find_first_of(kBlanks));
  const std::string_view argument = Trim(call.substr(verb.size()));
  if (verb == "health") {
    if (!argument.empty()) {
      return CallError{"health takes no argument, got " + Quote(argument)};
    }
    return Call{};
  }
  if (verb == "cordon" || verb == "uncordon") {
    if (argument.empty()) {
      return CallError{std::string(verb) + " requires the id of a target"};
    }
    return Call{verb == "cordon" ? CallKind::kCordon : CallKind::kUncordon, TargetId(argument)};
  }
  return CallError{"unknown call " + Quote(verb) + "; allowed: health, cordon ID, uncordon ID"};
}

std::string FormatDone(std::string_view text) { return FormatReply("done", text); }

std::string FormatError(std::string_view text) { return FormatReply("error", text); }

}  // namespace walnutspur::management
