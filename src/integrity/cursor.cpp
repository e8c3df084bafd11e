#include "integrity/cursor.h"

#include <sstream>

#include "integrity/crc32c.h"

namespace walnutspur::integrity {
namespace {

constexpr int kCursorVersion = 1;
constexpr std::string_view kSumWord = "sum ";

}  // namespace

// A line for each export, its name last, since it may hold anything but the end of a line.
std::string Encode(const Cursors& cursors) {
  std::ostringstream out;
  out << "walnutspur-scrub " << kCursorVersion << '\n';
  for (const auto& [name, at] : cursors) {
    if (name.find('\n') != std::string::npos) {
      continue;
    }
    out << at.block << ' ' << at.rounds << ' ' << at.since << ' ' << name << '\n';
  }
  std::string text = out.str();
  return text + std::string(kSumWord) + std::to_string(Crc32c(text)) + '\n';
}

std::optional<Cursors> DecodeCursors(std::string_view bytes, std::string* what) {
  const auto refuse = [&](const char* why) {
    *what = why;
    return std::nullopt;
  };
  std::istringstream in{std::string(bytes)};
  std::string word;
  std::string line;
  int version = 0;
  if (!(in >> word >> version) || word != "walnutspur-scrub") {
    return refuse("is no scrub cursor");
  }
  if (version > kCursorVersion) {
    return refuse("is of a newer version");
  }
  const std::size_t end = bytes.rfind(kSumWord);
  if (end == std::string_view::npos || end == 0 || bytes[end - 1] != '\n' ||
      bytes.substr(end) != std::string(kSumWord) + std::to_string(Crc32c(bytes.substr(0, end))) + '\n') {
    return refuse("is cut off or damaged: its checksum does not fit");
  }
  Cursors cursors;
  std::istringstream lines(std::string(bytes.substr(0, end)));
  std::getline(lines, line);
  while (std::getline(lines, line)) {
    std::istringstream fields(line);
    Cursor at;
    if (!(fields >> at.block >> at.rounds >> at.since) || fields.get() != ' ') {
      return refuse("holds a line that cannot be read");
    }
    std::getline(fields, word);
    cursors[word] = at;
  }
  return cursors;
}

}  // namespace walnutspur::integrity
