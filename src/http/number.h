// Parses numbers in headers strictly, and defines their units. Plain functions; any thread.
#ifndef WALNUTSPUR_HTTP_NUMBER_H_
#define WALNUTSPUR_HTTP_NUMBER_H_

#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>
#include <system_error>

namespace walnutspur::http {

// Headers state times in seconds; Time is in microseconds.
constexpr double kMicrosecondsPerSecond = 1e6;

// Parses a number. Returns nullopt unless all of the text is a number.
template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number value{};
  const char* end = text.data() + text.size();
  const auto [at, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || at != end) {
    return std::nullopt;
  }
  return value;
}

// Parses a finite number greater than zero; otherwise returns nullopt. `text` may be null.
inline std::optional<double> ParsePositive(const char* text) {
  const auto value = text ? ParseNumber<double>(text) : std::nullopt;
  return value && std::isfinite(*value) && *value > 0 ? value : std::nullopt;
}

}  // namespace walnutspur::http

#endif  // WALNUTSPUR_HTTP_NUMBER_H_
