#include "integrity/structured_field.h"

#include <openssl/evp.h>

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <utility>

namespace walnutspur::integrity {
namespace {

// RFC 8941, 3.3.1 and 3.3.2.
constexpr std::size_t kMaxIntegerDigits = 15;
constexpr std::size_t kMaxDecimalDigits = 12;
constexpr std::size_t kMaxFractionDigits = 3;

bool IsDigit(char character) { return character >= '0' && character <= '9'; }
bool IsLower(char character) { return character >= 'a' && character <= 'z'; }
bool IsAlpha(char character) { return IsLower(character) || (character >= 'A' && character <= 'Z'); }
bool IsBase64(char character) {
  return IsAlpha(character) || IsDigit(character) || character == '+' || character == '/';
}
bool IsTokenCharacter(char character) {
  return IsAlpha(character) || IsDigit(character) ||
         std::string_view("!#$%&'*+-.^_`|~:/").find(character) != std::string_view::npos;
}
bool IsKeyCharacter(char character) {
  return IsLower(character) || IsDigit(character) || character == '_' || character == '-' ||
         character == '.' || character == '*';
}
bool IsPrintable(char character) {
  const auto code = static_cast<unsigned char>(character);
  return code >= 0x20 && code <= 0x7e;
}

// Decodes base64. Missing padding is added (RFC 8941, 4.2.7). The characters are checked before, since
// EVP_DecodeBlock would skip white space.
std::optional<std::string> DecodeBase64(std::string_view text) {
  std::string padded(text);
  while (!padded.empty() && padded.back() == '=') {
    padded.pop_back();
  }
  const bool is_base64 = std::all_of(padded.begin(), padded.end(), IsBase64);
  const std::size_t padding = text.size() - padded.size();
  if (!is_base64 || padding > 2 || padded.size() % 4 == 1) {
    return std::nullopt;
  }
  const std::size_t missing = (4 - padded.size() % 4) % 4;
  padded.append(missing, '=');
  std::string out(padded.size() / 4 * 3, '\0');
  const int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(padded.data()), static_cast<int>(padded.size()));
  if (size < 0) {
    return std::nullopt;
  }
  out.resize(static_cast<std::size_t>(size) - missing);
  return out;
}

// The parser of RFC 8941, 4.2, as far as a dictionary of items needs it. It reads all types of items, so that
// a member of an unexpected type does not invalidate the others.
class Parser {
 public:
  explicit Parser(std::string_view text) : text_(text) {}

  std::optional<std::vector<Member>> Dictionary() {
    std::vector<Member> members;
    Skip(" ");
    while (!text_.empty()) {
      Member member;
      if (!Key(&member.key)) {
        return std::nullopt;
      }
      if (Take('=')) {
        if (!ItemOrList(&member)) {
          return std::nullopt;
        }
      }
      if (!Parameters()) {
        return std::nullopt;
      }
      std::erase_if(members, [&](const Member& other) { return other.key == member.key; });
      members.push_back(std::move(member));
      Skip(" \t");
      if (text_.empty()) {
        break;
      }
      if (!Take(',')) {
        return std::nullopt;
      }
      Skip(" \t");
      if (text_.empty()) {
        return std::nullopt;  // a trailing comma
      }
    }
    return members;
  }

 private:
  bool Is(char character) const { return !text_.empty() && text_.front() == character; }
  bool Take(char character) {
    if (!Is(character)) {
      return false;
    }
    text_.remove_prefix(1);
    return true;
  }
  void Skip(std::string_view blanks) {
    while (!text_.empty() && blanks.find(text_.front()) != std::string_view::npos) {
      text_.remove_prefix(1);
    }
  }
  std::string_view TakeWhile(bool (*test)(char)) {
    std::size_t size = 0;
    while (size < text_.size() && test(text_[size])) {
      ++size;
    }
    const std::string_view taken = text_.substr(0, size);
    text_.remove_prefix(size);
    return taken;
  }

  bool Key(std::string* key) {
    if (text_.empty() || !(IsLower(text_.front()) || Is('*'))) {
      return false;
    }
    *key = TakeWhile(IsKeyCharacter);
    return true;
  }

  bool ItemOrList(Member* member) {
    if (!Take('(')) {
      return Item(member);
    }
    while (true) {
      Skip(" ");
      if (Take(')')) {
        return true;
      }
      Member inner;
      if (!Item(&inner) || !Parameters()) {
        return false;
      }
      if (!Is(' ') && !Is(')')) {
        return false;
      }
    }
  }

  bool Item(Member* member) {
    if (text_.empty()) {
      return false;
    }
    const char first = text_.front();
    if (first == ':') {
      return Bytes(member);
    }
    if (first == '"') {
      return String();
    }
    if (first == '?') {
      text_.remove_prefix(1);
      return Take('0') || Take('1');
    }
    if (first == '-' || IsDigit(first)) {
      return Number(member);
    }
    if (!IsAlpha(first) && first != '*') {
      return false;
    }
    TakeWhile(IsTokenCharacter);
    return true;
  }

  bool Bytes(Member* member) {
    text_.remove_prefix(1);
    const std::size_t end = text_.find(':');
    if (end == std::string_view::npos) {
      return false;
    }
    member->bytes = DecodeBase64(text_.substr(0, end));
    text_.remove_prefix(end + 1);
    return member->bytes.has_value();
  }

  bool String() {
    text_.remove_prefix(1);
    while (!text_.empty()) {
      const char character = text_.front();
      text_.remove_prefix(1);
      if (character == '"') {
        return true;
      }
      if (!IsPrintable(character)) {
        return false;
      }
      if (character == '\\' && !Take('"') && !Take('\\')) {
        return false;
      }
    }
    return false;
  }

  bool Number(Member* member) {
    const bool negative = Take('-');
    const std::string_view digits = TakeWhile(IsDigit);
    if (digits.empty() || digits.size() > kMaxIntegerDigits) {
      return false;
    }
    if (Take('.')) {  // a decimal: accepted and ignored
      const std::string_view part = TakeWhile(IsDigit);
      return !part.empty() && part.size() <= kMaxFractionDigits && digits.size() <= kMaxDecimalDigits;
    }
    std::int64_t value = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), value);
    member->integer = negative ? -value : value;
    return true;
  }

  bool Parameters() {
    while (Take(';')) {
      Skip(" ");
      std::string key;
      Member value;
      if (!Key(&key) || (Take('=') && !Item(&value))) {
        return false;
      }
    }
    return true;
  }

  std::string_view text_;
};

}  // namespace

std::optional<std::vector<Member>> ReadDictionary(std::string_view field) {
  while (!field.empty() && field.back() == ' ') {
    field.remove_suffix(1);
  }
  return Parser(field).Dictionary();
}

}  // namespace walnutspur::integrity
