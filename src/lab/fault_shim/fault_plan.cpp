#include "lab/fault_shim/fault_plan.h"

#include <array>
#include <cerrno>
#include <charconv>
#include <cstdlib>

namespace walnutspur::lab {
namespace {

struct NamedErrno {
  std::string_view name;
  int number;
};

constexpr std::array kErrnos = {
    NamedErrno{"ECONNABORTED", ECONNABORTED},
    NamedErrno{"EMFILE", EMFILE},
    NamedErrno{"ENFILE", ENFILE},
    NamedErrno{"ENOBUFS", ENOBUFS},
    NamedErrno{"ENOMEM", ENOMEM},
    NamedErrno{"EADDRNOTAVAIL", EADDRNOTAVAIL},
    NamedErrno{"ENETUNREACH", ENETUNREACH},
    NamedErrno{"EHOSTUNREACH", EHOSTUNREACH},
    NamedErrno{"ECONNREFUSED", ECONNREFUSED},
    NamedErrno{"ECONNRESET", ECONNRESET},
    NamedErrno{"ETIMEDOUT", ETIMEDOUT},
    NamedErrno{"EINTR", EINTR},
    NamedErrno{"EAGAIN", EAGAIN},
    NamedErrno{"EPIPE", EPIPE},
    NamedErrno{"ENOSPC", ENOSPC},
    NamedErrno{"EIO", EIO},
};
constexpr std::string_view kDelayPrefix = "delay";

std::optional<std::int64_t> ParseInteger(std::string_view text) {
  if (!text.empty() && text.front() == '+') {
    text.remove_prefix(1);
  }
  std::int64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

// Removes the text before `delimiter`, and the delimiter, from `text` and returns that text; returns all of
// the text if it has no delimiter.
std::string_view TakeUntil(std::string_view* text, char delimiter) {
  const std::size_t at = text->find(delimiter);
  const std::string_view taken = text->substr(0, at);
  text->remove_prefix(at == std::string_view::npos ? text->size() : at + 1);
  return taken;
}

bool ParseEffect(std::string_view effect, SystemFault* fault) {
  if (fault->call == "clock") {
    fault->kind = SystemFaultKind::kClockStep;
    const auto step = ParseInteger(effect);
    fault->amount_ms = step.value_or(0);
    return step.has_value();
  }
  if (effect == "short") {
    fault->kind = SystemFaultKind::kShort;
    return true;
  }
  if (effect.substr(0, kDelayPrefix.size()) == kDelayPrefix) {
    fault->kind = SystemFaultKind::kDelay;
    const auto delay = ParseInteger(effect.substr(kDelayPrefix.size()));
    fault->amount_ms = delay.value_or(0);
    return delay.has_value() && *delay >= 0;
  }
  const std::optional<int> error = ErrnoNamed(effect);
  fault->error = error.value_or(0);
  return error.has_value();
}

std::optional<SystemFault> ParseFault(std::string_view text) {
  SystemFault fault;
  fault.call = TakeUntil(&text, '@');
  std::string_view times = TakeUntil(&text, '=');
  const auto from = ParseInteger(TakeUntil(&times, '-'));
  const auto until = times.empty() ? std::optional<std::int64_t>(-1) : ParseInteger(times);
  const std::string_view effect = TakeUntil(&text, '/');
  if (fault.call.empty() || !from || !until || !ParseEffect(effect, &fault)) {
    return std::nullopt;
  }
  fault.from_ms = *from;
  fault.until_ms = *until;
  if (!text.empty()) {
    fault.probability = std::strtod(std::string(text).c_str(), nullptr);
  }
  const bool is_probability = fault.probability > 0 && fault.probability <= 1;
  return is_probability ? std::optional<SystemFault>(fault) : std::nullopt;
}

}  // namespace

std::optional<int> ErrnoNamed(std::string_view name) {
  for (const NamedErrno& known : kErrnos) {
    if (known.name == name) {
      return known.number;
    }
  }
  return std::nullopt;
}

std::optional<std::vector<SystemFault>> ParseFaultPlan(std::string_view text) {
  std::vector<SystemFault> faults;
  while (!text.empty()) {
    const std::optional<SystemFault> fault = ParseFault(TakeUntil(&text, ';'));
    if (!fault) {
      return std::nullopt;
    }
    faults.push_back(*fault);
  }
  return faults;
}

}  // namespace walnutspur::lab
