#include "integrity/cursor.h"

#include <sstream>

#include "integrity/crc32c.h"

namespace walnutspur::integrity {
namespace {

// Version of the stored format; newer ones are rejected.
constexpr int kCursorVersion = 1;
// First word of the file, and first word of the line with the checksum of all bytes before it.
constexpr std::string_view kFormatWord = "walnutspur-scrub";
constexpr std::string_view kChecksumWord = "sum ";

}  // namespace

// Writes one line for each export. The name comes last, since it may contain anything but a line break.
std::string Encode(const Cursors& cursors) {
  std::ostringstream out;
  out << kFormatWord << ' ' << kCursorVersion << '\n';
  for (const auto& [name, cursor] : cursors) {
    if (name.find('\n') != std::string::npos) {
      continue;
    }
    out << cursor.block << ' ' << cursor.rounds << ' ' << cursor.since << ' ' << name << '\n';
  }
  std::string text = out.str();
  return text + std::string(kChecksumWord) + std::to_string(Crc32c(text)) + '\n';
}

std::optional<Cursors> DecodeCursors(std::string_view bytes, std::string* error) {
  const auto reject = [&](const char* message) {
    *error = message;
    return std::nullopt;
  };
  std::istringstream in{std::string(bytes)};
  std::string word;
  std::string line;
  int version = 0;
  if (!(in >> word >> version) || word != kFormatWord) {
    return reject("is not a file of scrub cursors");
  }
  if (version > kCursorVersion) {
    return reject("has a newer format version than this program supports");
  }
  const std::size_t end = bytes.rfind(kChecksumWord);
  if (end == std::string_view::npos || end == 0 || bytes[end - 1] != '\n' ||
      bytes.substr(end) != std::string(kChecksumWord) + std::to_string(Crc32c(bytes.substr(0, end))) + '\n') {
    return reject("is truncated or corrupt: its checksum does not match");
  }
  Cursors cursors;
  std::istringstream lines(std::string(bytes.substr(0, end)));
  std::getline(lines, line);
  while (std::getline(lines, line)) {
    std::istringstream fields(line);
    Cursor cursor;
    if (!(fields >> cursor.block >> cursor.rounds >> cursor.since) || fields.get() != ' ') {
      return reject("has a line that cannot be parsed");
    }
    std::getline(fields, word);
    cursors[word] = cursor;
  }
  return cursors;
}

}  // namespace walnutspur::integrity
