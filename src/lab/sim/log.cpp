#include "lab/sim/log.h"

#include <array>
#include <charconv>
#include <cstring>
#include <stdexcept>

#include "integrity/crc32c.h"

namespace walnutspur::lab {
namespace {

constexpr std::array<const char*, 17> kNames = {"rules", "class", "ask",    "send", "outcome", "answer",
                                                "taken", "full",  "begin",  "ran",  "dropped", "told",
                                                "up",    "down",  "topple", "left", "end"};

}  // namespace

const char* NameOf(What what) { return kNames[static_cast<std::size_t>(what)]; }

std::string Line(const Entry& e) {
  std::array<char, 160> text;
  char* at = text.data();
  char* const end = at + text.size();
  const auto number = [&](std::int64_t value, char after) {
    at = std::to_chars(at, end, value).ptr;
    if (at != end) {
      *at++ = after;
    }
  };
  number(e.at, ' ');
  const char* name = NameOf(e.what);
  const std::size_t length = std::strlen(name);
  std::memcpy(at, name, length);
  at += length;
  *at++ = ' ';
  number(e.initiator, ' ');
  number(e.request, ' ');
  number(e.trial, ' ');
  number(e.box, ' ');
  number(e.a, ' ');
  number(e.b, '\n');
  return {text.data(), static_cast<std::size_t>(at - text.data())};
}

std::optional<Entry> ParseEntry(std::string_view line) {
  if (!line.empty() && line.back() == '\n') {
    line.remove_suffix(1);
  }
  Entry e;
  const auto word = [&] {
    const std::size_t end = line.find(' ');
    const std::string_view found = line.substr(0, end);
    line.remove_prefix(end == std::string_view::npos ? line.size() : end + 1);
    return found;
  };
  bool good = true;
  const auto number = [&](auto* value) {
    const std::string_view text = word();
    const auto [at, error] = std::from_chars(text.data(), text.data() + text.size(), *value);
    good = good && error == std::errc() && at == text.data() + text.size() && !text.empty();
  };
  number(&e.at);
  const std::string_view name = word();
  std::size_t what = 0;
  while (what < kNames.size() && kNames[what] != name) {
    ++what;
  }
  if (what == kNames.size()) {
    return std::nullopt;
  }
  e.what = static_cast<What>(what);
  number(&e.initiator);
  number(&e.request);
  number(&e.trial);
  number(&e.box);
  number(&e.a);
  number(&e.b);
  if (!good || !line.empty()) {
    return std::nullopt;
  }
  return e;
}

Log::Log(const std::string& path) {
  if (path.empty()) {
    return;
  }
  file_.reset(std::fopen(path.c_str(), "w"));
  if (!file_) {
    throw std::runtime_error("cannot write " + path + ": " + std::strerror(errno));
  }
}

void Log::Put(const Entry& entry) {
  const std::string line = Line(entry);
  bytes_ += line.size();
  ++entries_;
  sum_ = integrity::Crc32c(line, sum_);
  if (file_) {
    std::fwrite(line.data(), 1, line.size(), file_.get());
  }
  if (on_entry) {
    on_entry(entry);
  }
}

}  // namespace walnutspur::lab
