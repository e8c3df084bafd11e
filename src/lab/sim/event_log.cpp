#include "lab/sim/event_log.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>

#include "integrity/crc32c.h"

namespace walnutspur::lab::sim {
namespace {

// Names in the file, in the order of LogEntryType.
constexpr std::array<std::string_view, 17> kTypeNames = {
    "rules", "class",   "ask",  "send", "outcome", "answer", "taken", "full", "begin",
    "ran",   "dropped", "told", "up",   "down",    "topple", "left",  "end"};

constexpr std::size_t kTypicalLineLength = 80;
constexpr std::size_t kMaxDigits = 20;  // maximum length of a 64-bit number with its sign

// Splits a line at single spaces and parses its fields in order.
class FieldReader {
 public:
  explicit FieldReader(std::string_view line) : rest_(line) {}

  std::string_view Word() {
    const std::size_t end = rest_.find(' ');
    const std::string_view word = rest_.substr(0, end);
    rest_.remove_prefix(end == std::string_view::npos ? rest_.size() : end + 1);
    return word;
  }
  template <typename Integer>
  void Number(Integer* value) {
    const std::string_view text = Word();
    const char* const end = text.data() + text.size();
    const std::from_chars_result result = std::from_chars(text.data(), end, *value);
    valid_ = valid_ && result.ec == std::errc() && result.ptr == end && !text.empty();
  }
  // Returns whether all numbers were valid and the whole line was consumed.
  bool Complete() const { return valid_ && rest_.empty(); }

 private:
  std::string_view rest_;
  bool valid_ = true;
};

}  // namespace

std::string FormatEntry(const LogEntry& entry) {
  std::string line;
  line.reserve(kTypicalLineLength);
  const auto number = [&](std::int64_t value, char separator) {
    std::array<char, kMaxDigits> digits;
    char* const end = std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr;
    line.append(digits.data(), end);
    line += separator;
  };
  number(entry.at, ' ');
  line += kTypeNames[static_cast<std::size_t>(entry.type)];
  line += ' ';
  number(entry.initiator, ' ');
  number(entry.request, ' ');
  number(entry.attempt, ' ');
  number(entry.server, ' ');
  number(entry.value, ' ');
  number(entry.detail, '\n');
  return line;
}

std::optional<LogEntry> ParseEntry(std::string_view line) {
  if (!line.empty() && line.back() == '\n') {
    line.remove_suffix(1);
  }
  LogEntry entry;
  FieldReader fields(line);
  fields.Number(&entry.at);
  const auto* const name = std::find(kTypeNames.begin(), kTypeNames.end(), fields.Word());
  if (name == kTypeNames.end()) {
    return std::nullopt;
  }
  entry.type = static_cast<LogEntryType>(name - kTypeNames.begin());
  fields.Number(&entry.initiator);
  fields.Number(&entry.request);
  fields.Number(&entry.attempt);
  fields.Number(&entry.server);
  fields.Number(&entry.value);
  fields.Number(&entry.detail);
  if (!fields.Complete()) {
    return std::nullopt;
  }
  return entry;
}

EventLog::EventLog(const std::string& path) {
  if (path.empty()) {
    return;
  }
  file_.reset(std::fopen(path.c_str(), "w"));
  if (!file_) {
    throw EventLogError("cannot write " + path + ": " + std::strerror(errno));
  }
}

void EventLog::Append(const LogEntry& entry) {
  const std::string line = FormatEntry(entry);
  bytes_ += line.size();
  ++entries_;
  checksum_ = integrity::Crc32c(line, checksum_);
  if (file_) {
    std::fwrite(line.data(), 1, line.size(), file_.get());
  }
  if (on_entry) {
    on_entry(entry);
  }
}

}  // namespace walnutspur::lab::sim
