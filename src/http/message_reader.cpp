#include "http/message_reader.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "http/response_text.h"

namespace walnutspur::http {
namespace {

// Maximum total size of head, chunk size lines and trailers.
constexpr std::size_t kMaxLineBytes = 16 << 10;

// A large body without a declared length gets this fraction of its size as spare room.
constexpr std::size_t kLargeBodyGrowthDivisor = 8;

// Maximum number of headers of a message.
constexpr std::size_t kMaxFields = 256;

// Maximum number of digits of a length. It fits into 64 bits and covers every accepted body size.
constexpr std::size_t kMaxDigits = 18;

// Positions in the status line "HTTP/1.1 200 OK"; the reason phrase is optional.
constexpr std::size_t kVersionSize = 8;
constexpr std::size_t kCodeOffset = 9;
constexpr std::size_t kCodeSize = 3;
constexpr std::size_t kCodeEnd = kCodeOffset + kCodeSize;

// Status codes with special message framing (RFC 9112, 6.3).
constexpr int kFirstFinalCode = 200;
constexpr int kSwitchingProtocols = 101;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

char ToLower(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char left, char right) { return ToLower(left) == ToLower(right); });
}

bool IsDigit(char byte) { return byte >= '0' && byte <= '9'; }

bool IsTokenCharacter(char byte) {
  return IsDigit(byte) || (ToLower(byte) >= 'a' && ToLower(byte) <= 'z') ||
         std::string_view("!#$%&'*+-.^_`|~").find(byte) != std::string_view::npos;
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenCharacter);
}

bool IsControl(char byte) {
  return (static_cast<unsigned char>(byte) < 0x20 && byte != '\t') || byte == 0x7f;
}

bool IsUriCharacter(char byte) { return byte > ' ' && byte != 0x7f; }

bool IsBlank(char byte) { return byte == ' ' || byte == '\t'; }

std::string_view Trim(std::string_view text) {
  while (!text.empty() && IsBlank(text.front())) {
    text.remove_prefix(1);
  }
  while (!text.empty() && IsBlank(text.back())) {
    text.remove_suffix(1);
  }
  return text;
}

// Returns whether a comma-separated list such as "keep-alive, close" contains the item.
bool ListContains(std::string_view list, std::string_view item) {
  while (!list.empty()) {
    const std::size_t comma = std::min(list.find(','), list.size());
    if (EqualsIgnoringCase(Trim(list.substr(0, comma)), item)) {
      return true;
    }
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

bool ReadNumber(std::string_view digits, int base, std::uint64_t* value) {
  if (digits.empty() || digits.size() > kMaxDigits) {
    return false;
  }
  const auto [at, error] = std::from_chars(digits.data(), digits.data() + digits.size(), *value, base);
  return error == std::errc() && at == digits.data() + digits.size();
}

bool IsSupportedVersion(std::string_view version) { return version == "HTTP/1.1" || version == "HTTP/1.0"; }

}  // namespace

std::size_t MessageReader::Feed(std::string_view bytes) {
  const std::size_t size = bytes.size();
  while (!bytes.empty() && !complete() && !malformed()) {
    if (state_ == State::kBodyToEnd) {
      TakeBodyToEnd(&bytes);
    } else if (state_ == State::kBody || state_ == State::kChunkData) {
      TakeBody(&bytes);
    } else {
      TakeLine(&bytes);
    }
  }
  return size - bytes.size();
}

void MessageReader::TakeBodyToEnd(std::string_view* bytes) {
  if (bytes->size() > max_body_bytes_ - body_.size()) {
    MarkMalformed(kStatusContentTooLarge, "the body is too long");
    return;
  }
  body_.append(*bytes);
  *bytes = {};
}

void MessageReader::TakeBody(std::string_view* bytes) {
  const auto size = static_cast<std::size_t>(std::min<std::uint64_t>(remaining_bytes_, bytes->size()));
  ReserveBody(body_.size() + size);
  body_.append(bytes->substr(0, size));
  bytes->remove_prefix(size);
  remaining_bytes_ -= size;
  if (remaining_bytes_ == 0) {
    state_ = state_ == State::kBody ? State::kComplete : State::kChunkEnd;
  }
}

void MessageReader::TakeLine(std::string_view* bytes) {
  const std::size_t end = bytes->find('\n');
  const bool has_end = end != std::string_view::npos;
  const std::size_t size = has_end ? end + 1 : bytes->size();
  line_bytes_ += size;
  if (line_bytes_ > kMaxLineBytes) {
    MarkMalformed(kStatusHeaderTooLarge, "the head is too long");
    return;
  }
  line_.append(bytes->substr(0, size));
  bytes->remove_prefix(size);
  if (!has_end) {
    return;
  }
  if (line_.size() < 2 || line_[line_.size() - 2] != '\r') {
    MarkMalformed(kStatusBadRequest, "a line does not end in CR LF");
    return;
  }
  std::string line = std::exchange(line_, "");
  line.resize(line.size() - 2);
  OnLine(line);
}

std::size_t MessageReader::held_bytes() const {
  const std::size_t head = line_.capacity() + method_.capacity() + uri_.capacity() + field_text_.capacity() +
                           fields_.capacity() * sizeof(Field);
  const std::size_t declared = declared_body_bytes();
  if (kind_ == Kind::kResponse || declared <= kProtocolBodyBytes) {
    return head + body_.capacity();
  }
  return head + std::max(declared, body_.capacity());
}

// Allocates a request's large body of declared length at once, so that its buffer is never copied to a larger
// one. A response's large body is taken in parts.
void MessageReader::ReserveBody(std::size_t needed) {
  if (needed <= body_.capacity()) {
    return;
  }
  const std::size_t declared = declared_body_bytes();
  const bool is_large = kind_ == Kind::kRequest && declared > kProtocolBodyBytes;
  if (is_large && declared_length_) {
    body_.reserve(declared);
  } else if (is_large) {
    body_.reserve(needed + needed / kLargeBodyGrowthDivisor);
  } else {
    body_.reserve(std::min(declared, std::max(needed, 2 * body_.capacity())));
  }
}

void MessageReader::End() {
  if (state_ == State::kBodyToEnd) {
    state_ = State::kComplete;
  }
}

void MessageReader::OnLine(std::string_view line) {
  if (std::any_of(line.begin(), line.end(), IsControl)) {
    MarkMalformed(kStatusBadRequest, "a control character in a line");
    return;
  }
  switch (state_) {
    case State::kStartLine:
      OnStartLine(line);
      return;
    case State::kFields:
      OnFieldLine(line);
      return;
    case State::kChunkSize:
      OnChunkSize(line);
      return;
    case State::kChunkEnd:
      if (!line.empty()) {
        MarkMalformed(kStatusBadRequest, "a chunk is longer than it says");
        return;
      }
      state_ = State::kChunkSize;
      return;
    case State::kTrailer:
      if (line.empty()) {
        state_ = State::kComplete;
      }
      return;
    default:
      return;
  }
}

void MessageReader::OnStartLine(std::string_view line) {
  if (kind_ == Kind::kRequest) {
    OnRequestLine(line);
  } else {
    OnStatusLine(line);
  }
}

void MessageReader::OnRequestLine(std::string_view line) {
  if (line.empty()) {
    return;  // some senders add an empty line after a body
  }
  const std::size_t first = line.find(' ');
  const std::size_t last = line.rfind(' ');
  if (first == std::string_view::npos || first == last) {
    MarkMalformed(kStatusBadRequest, "no request line");
    return;
  }
  method_ = line.substr(0, first);
  uri_ = line.substr(first + 1, last - first - 1);
  const std::string_view version = line.substr(last + 1);
  if (!IsToken(method_) || uri_.empty() || !std::all_of(uri_.begin(), uri_.end(), IsUriCharacter)) {
    MarkMalformed(kStatusBadRequest, "no request line");
    return;
  }
  if (!IsSupportedVersion(version)) {
    MarkMalformed(kStatusVersionNotSupported, "not HTTP/1.1");
    return;
  }
  is_http_1_0_ = version == "HTTP/1.0";
  state_ = State::kFields;
}

void MessageReader::OnStatusLine(std::string_view line) {
  const std::string_view version = line.substr(0, std::min(kVersionSize, line.size()));
  std::uint64_t code = 0;
  if (!IsSupportedVersion(version) || line.size() < kCodeEnd || line[kVersionSize] != ' ' ||
      !ReadNumber(line.substr(kCodeOffset, kCodeSize), 10, &code) || code < 100 ||
      (line.size() > kCodeEnd && line[kCodeEnd] != ' ')) {
    MarkMalformed(kStatusBadGateway, "malformed status line");
    return;
  }
  is_http_1_0_ = version == "HTTP/1.0";
  code_ = static_cast<int>(code);
  state_ = State::kFields;
}

void MessageReader::OnFieldLine(std::string_view line) {
  if (line.empty()) {
    OnHeadComplete();
    return;
  }
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || !IsToken(line.substr(0, colon))) {
    MarkMalformed(kStatusBadRequest, "a header without a name");
    return;
  }
  if (fields_.size() >= kMaxFields) {
    MarkMalformed(kStatusHeaderTooLarge, "too many headers");
    return;
  }
  Field field;
  field.name = static_cast<std::uint32_t>(field_text_.size());
  field_text_.append(line.substr(0, colon)).push_back('\0');
  field.value = static_cast<std::uint32_t>(field_text_.size());
  field_text_.append(Trim(line.substr(colon + 1))).push_back('\0');
  fields_.push_back(field);
}

std::string_view MessageReader::NameOf(const Field& field) const {
  const std::string_view text = field_text_;
  return text.substr(field.name, field.value - field.name - 1);
}

const char* MessageReader::Find(std::string_view name) const {
  for (const Field& field : fields_) {
    if (EqualsIgnoringCase(NameOf(field), name)) {
      return ValueOf(field);
    }
  }
  return nullptr;
}

std::string MessageReader::Joined(std::string_view name) const {
  std::string joined;
  for (const Field& field : fields_) {
    if (EqualsIgnoringCase(NameOf(field), name)) {
      joined += std::string(joined.empty() ? "" : ", ") + ValueOf(field);
    }
  }
  return joined;
}

std::size_t MessageReader::Count(std::string_view name) const {
  const auto has_name = [&](const Field& field) { return EqualsIgnoringCase(NameOf(field), name); };
  return static_cast<std::size_t>(std::count_if(fields_.begin(), fields_.end(), has_name));
}

void MessageReader::OnHeadComplete() {
  if (kind_ == Kind::kResponse && code_ < kFirstFinalCode) {  // an interim response; another response follows
    if (code_ == kSwitchingProtocols) {
      MarkMalformed(kStatusBadGateway, "101 Switching Protocols is not supported");
      return;
    }
    fields_.clear();
    field_text_.clear();
    state_ = State::kStartLine;
    return;
  }
  ReadConnectionHeader();
  ReadBodyFraming();
  if (malformed()) {
    return;
  }
  const char* expect = Find("Expect");
  expects_continue_ = expect != nullptr && EqualsIgnoringCase(expect, "100-continue") && !complete();
}

void MessageReader::ReadConnectionHeader() {
  const char* connection = Find("Connection");
  if (connection != nullptr && ListContains(connection, "close")) {
    keeps_alive_ = false;
    return;
  }
  keeps_alive_ = !is_http_1_0_ || (connection != nullptr && ListContains(connection, "keep-alive"));
}

// Determines how the body is framed. Rejects ambiguous lengths to prevent request smuggling: a peer that
// reads the length differently would take part of the body for a separate message.
void MessageReader::ReadBodyFraming() {
  const std::size_t lengths = Count("Content-Length");
  const std::size_t encodings = Count("Transfer-Encoding");
  if (lengths + encodings > 1) {
    MarkMalformed(kStatusBadRequest, "more than one length");
  } else if (encodings > 0) {
    if (is_http_1_0_ || !EqualsIgnoringCase(Find("Transfer-Encoding"), "chunked")) {
      MarkMalformed(kStatusBadRequest, "an encoding that is not known");
      return;
    }
    state_ = State::kChunkSize;
  } else if (lengths > 0) {
    ReadContentLength();
  } else if (kind_ == Kind::kResponse && code_ != kNoContent && code_ != kNotModified) {
    state_ = State::kBodyToEnd;  // the body ends with the connection (RFC 9112, 6.3)
    keeps_alive_ = false;
  } else {
    state_ = State::kComplete;
  }
}

void MessageReader::ReadContentLength() {
  const std::string_view digits = Find("Content-Length");
  if (digits.empty() || !std::all_of(digits.begin(), digits.end(), IsDigit)) {
    MarkMalformed(kStatusBadRequest, "Content-Length is not a number");
    return;
  }
  if (!ReadNumber(digits, 10, &remaining_bytes_) || remaining_bytes_ > max_body_bytes_) {
    MarkMalformed(kStatusContentTooLarge, "the body is too long");
    return;
  }
  declared_length_ = remaining_bytes_;
  state_ = remaining_bytes_ > 0 ? State::kBody : State::kComplete;
}

void MessageReader::OnChunkSize(std::string_view line) {
  if (!ReadNumber(Trim(line.substr(0, line.find(';'))), 16, &remaining_bytes_)) {
    MarkMalformed(kStatusBadRequest, "no size of a chunk");
    return;
  }
  if (remaining_bytes_ > max_body_bytes_ - body_.size()) {
    MarkMalformed(kStatusContentTooLarge, "the body is too long");
    return;
  }
  state_ = remaining_bytes_ > 0 ? State::kChunkData : State::kTrailer;
}

void MessageReader::MarkMalformed(int status, std::string error) {
  state_ = State::kMalformed;
  remaining_bytes_ = 0;
  status_ = status;
  error_ = std::move(error);
  keeps_alive_ = false;
}

}  // namespace walnutspur::http
