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

// One line for each export, with its name last, which may contain anything but a line break.
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
    return reject("is no scrub cursor");
  }
  if (version > kCursorVersion) {
    return reject("is of a newer version");
  }
  const std::size_t end = bytes.rfind(kChecksumWord);
  if (end == std::string_view::npos || end == 0 || bytes[end - 1] != '\n' ||
      bytes.substr(end) != std::string(kChecksumWord) + std::to_string(Crc32c(bytes.substr(0, end))) + '\n') {
    return reject("is cut off or damaged: its checksum does not fit");
  }
  Cursors cursors;
  std::istringstream lines(std::string(bytes.substr(0, end)));
  std::getline(lines, line);
  while (std::getline(lines, line)) {
    std::istringstream fields(line);
    Cursor cursor;
    if (!(fields >> cursor.block >> cursor.rounds >> cursor.since) || fields.get() != ' ') {
      return reject("holds a line that cannot be read");
    }
    std::getline(fields, word);
    cursors[word] = cursor;
  }
  return cursors;
}

}  // namespace walnutspur::integrity
