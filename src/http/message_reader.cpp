#include "http/message_reader.h"

#include <algorithm>
#include <charconv>

namespace walnutspur::http {
namespace {

constexpr std::size_t kMostLines = 16 * 1024;  // of head, chunk sizes and trailers together
constexpr std::size_t kMostDigits = 18;        // fits 64 bits, and is beyond any body that is taken

char Lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool Same(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return Lower(x) == Lower(y); });
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (Lower(c) >= 'a' && Lower(c) <= 'z') ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
  });
}

bool IsControl(char c) { return (static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f; }

std::string_view Trim(std::string_view text) {
  const auto blank = [](char c) { return c == ' ' || c == '\t'; };
  while (!text.empty() && blank(text.front())) text.remove_prefix(1);
  while (!text.empty() && blank(text.back())) text.remove_suffix(1);
  return text;
}

// Whether a list such as "keep-alive, close" names the item.
bool Names(std::string_view list, std::string_view item) {
  while (!list.empty()) {
    const std::size_t comma = std::min(list.find(','), list.size());
    if (Same(Trim(list.substr(0, comma)), item)) return true;
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

bool ReadNumber(std::string_view digits, int base, std::uint64_t* value) {
  if (digits.empty() || digits.size() > kMostDigits) return false;
  const auto [at, error] = std::from_chars(digits.data(), digits.data() + digits.size(), *value, base);
  return error == std::errc() && at == digits.data() + digits.size();
}

}  // namespace

std::size_t MessageReader::Feed(std::string_view bytes) {
  const std::size_t size = bytes.size();
  while (!bytes.empty() && !complete() && !malformed()) {
    if (state_ == State::kToEnd) {
      if (bytes.size() > most_ - body_.size()) {
        Spoil(413, "the body is too long");
        break;
      }
      body_.append(bytes);
      bytes = {};
      continue;
    }
    if (state_ == State::kBody || state_ == State::kData) {
      const auto part = static_cast<std::size_t>(std::min<std::uint64_t>(left_, bytes.size()));
      body_.append(bytes.substr(0, part));
      bytes.remove_prefix(part);
      left_ -= part;
      if (left_ == 0) state_ = state_ == State::kBody ? State::kWhole : State::kDataEnd;
      continue;
    }
    const std::size_t end = bytes.find('\n');
    const std::size_t part = end == std::string_view::npos ? bytes.size() : end + 1;
    taken_ += part;
    if (taken_ > kMostLines) {
      Spoil(431, "the head is too long");
      break;
    }
    line_.append(bytes.substr(0, part));
    bytes.remove_prefix(part);
    if (end == std::string_view::npos) continue;
    if (line_.size() < 2 || line_[line_.size() - 2] != '\r') {
      Spoil(400, "a line does not end in CR LF");
      break;
    }
    const std::string line = std::exchange(line_, "");
    OnLine(std::string_view(line).substr(0, line.size() - 2));
  }
  return size - bytes.size();
}

void MessageReader::End() {
  if (state_ == State::kToEnd) state_ = State::kWhole;
}

void MessageReader::OnLine(std::string_view line) {
  if (std::any_of(line.begin(), line.end(), IsControl)) return Spoil(400, "a control character in a line");
  switch (state_) {
    case State::kStart:
      return OnStart(line);
    case State::kFields:
      return line.empty() ? OnHead() : OnField(line);
    case State::kSize:
      return OnSize(line);
    case State::kDataEnd:
      if (!line.empty()) return Spoil(400, "a chunk is longer than it says");
      state_ = State::kSize;
      return;
    case State::kTrailer:
      if (line.empty()) state_ = State::kWhole;
      return;
    default:
      return;
  }
}

void MessageReader::OnStart(std::string_view line) {
  if (kind_ == Kind::kRequest) {
    if (line.empty()) return;  // some senders end a body with an empty line of their own
    const std::size_t first = line.find(' '), last = line.rfind(' ');
    if (first == line.npos || first == last) return Spoil(400, "no request line");
    method_ = line.substr(0, first);
    uri_ = line.substr(first + 1, last - first - 1);
    const std::string_view version = line.substr(last + 1);
    const bool plain = std::all_of(uri_.begin(), uri_.end(), [](char c) { return c > ' ' && c != 0x7f; });
    if (!IsToken(method_) || uri_.empty() || !plain) return Spoil(400, "no request line");
    if (version != "HTTP/1.1" && version != "HTTP/1.0") return Spoil(505, "not HTTP/1.1");
    old_ = version == "HTTP/1.0";
  } else {
    const std::string_view version = line.substr(0, std::min<std::size_t>(8, line.size()));
    std::uint64_t code = 0;
    if ((version != "HTTP/1.1" && version != "HTTP/1.0") || line.size() < 12 || line[8] != ' ' ||
        !ReadNumber(line.substr(9, 3), 10, &code) || code < 100 || (line.size() > 12 && line[12] != ' '))
      return Spoil(502, "no status line");
    old_ = version == "HTTP/1.0";
    code_ = static_cast<int>(code);
  }
  state_ = State::kFields;
}

void MessageReader::OnField(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == line.npos || !IsToken(line.substr(0, colon))) return Spoil(400, "a header without a name");
  fields_.emplace_back(line.substr(0, colon), Trim(line.substr(colon + 1)));
}

const char* MessageReader::Find(std::string_view name) const {
  for (const auto& [known, value] : fields_) {
    if (Same(known, name)) return value.c_str();
  }
  return nullptr;
}

std::string MessageReader::Joined(std::string_view name) const {
  std::string joined;
  for (const auto& [field, value] : fields_) {
    if (Same(field, name)) joined += (joined.empty() ? "" : ", ") + value;
  }
  return joined;
}

std::size_t MessageReader::Count(std::string_view name) const {
  return static_cast<std::size_t>(std::count_if(fields_.begin(), fields_.end(),
                                                [&](const auto& field) { return Same(field.first, name); }));
}

// Says how the body is framed. Guards against a message within a message: whoever reads the length otherwise
// takes a part of the body for a message of its own.
void MessageReader::OnHead() {
  if (kind_ == Kind::kResponse && code_ < 200) {  // an answer that another follows; nobody asked to switch
    if (code_ == 101) return Spoil(502, "another protocol");
    fields_.clear();
    state_ = State::kStart;
    return;
  }
  const char* connection = Find("Connection");
  keeps_ = connection && Names(connection, "close")
               ? false
               : !old_ || (connection && Names(connection, "keep-alive"));
  const std::size_t lengths = Count("Content-Length"), encodings = Count("Transfer-Encoding");
  if (lengths > 1 || encodings > 1 || lengths + encodings > 1) return Spoil(400, "more than one length");
  if (encodings > 0) {
    if (old_ || !Same(Find("Transfer-Encoding"), "chunked"))
      return Spoil(400, "an encoding that is not known");
    state_ = State::kSize;
  } else if (lengths > 0) {
    const std::string_view digits = Find("Content-Length");
    const bool plain = std::all_of(digits.begin(), digits.end(), [](char c) { return c >= '0' && c <= '9'; });
    if (digits.empty() || !plain) return Spoil(400, "Content-Length is not a number");
    if (!ReadNumber(digits, 10, &left_) || left_ > most_) return Spoil(413, "the body is too long");
    state_ = left_ > 0 ? State::kBody : State::kWhole;
  } else if (kind_ == Kind::kResponse && code_ != 204 && code_ != 304) {
    state_ = State::kToEnd;  // RFC 9112, 6.3: it ends with the connection
    keeps_ = false;
  } else {
    state_ = State::kWhole;
  }
  const char* expects = Find("Expect");
  continues_ = expects && Same(expects, "100-continue") && state_ != State::kWhole;
}

void MessageReader::OnSize(std::string_view line) {
  if (!ReadNumber(Trim(line.substr(0, line.find(';'))), 16, &left_)) return Spoil(400, "no size of a chunk");
  if (left_ > most_ - body_.size()) return Spoil(413, "the body is too long");
  state_ = left_ > 0 ? State::kData : State::kTrailer;
}

void MessageReader::Spoil(int status, std::string why) {
  state_ = State::kSpoilt;
  left_ = 0;
  status_ = status;
  why_ = std::move(why);
  keeps_ = false;
}

}  // namespace walnutspur::http
