#include "integrity/digest.h"

#include <openssl/evp.h>

#include <algorithm>
#include <charconv>
#include <stdexcept>

#include "integrity/crc32c.h"

namespace walnutspur::integrity {
namespace {

constexpr long kMostWeight = 10;
constexpr std::size_t kMostDigits = 15;  // RFC 8941, 3.3.1

bool IsDigit(char c) { return c >= '0' && c <= '9'; }
bool IsLower(char c) { return c >= 'a' && c <= 'z'; }
bool IsAlpha(char c) { return IsLower(c) || (c >= 'A' && c <= 'Z'); }

std::string Encode(std::string_view bytes) {
  std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
  out.resize(static_cast<std::size_t>(size));
  return out;
}

// Padding that is missing is put there (RFC 8941, 4.2.7); EVP's own reader takes blanks, which are none here.
std::optional<std::string> Decode(std::string_view text) {
  std::string padded(text);
  while (!padded.empty() && padded.back() == '=') {
    padded.pop_back();
  }
  const bool plain = std::all_of(padded.begin(), padded.end(),
                                 [](char c) { return IsAlpha(c) || IsDigit(c) || c == '+' || c == '/'; });
  if (!plain || text.size() - padded.size() > 2 || padded.size() % 4 == 1) {
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

// The parser of RFC 8941, 4.2, cut to what a dictionary of items needs; all types of items are read so that a
// strange one does not spoil its neighbours.
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
      std::erase_if(members, [&](const Member& m) { return m.key == member.key; });
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
        return std::nullopt;  // a comma at the end
      }
    }
    return members;
  }

 private:
  bool Is(char c) const { return !text_.empty() && text_.front() == c; }
  bool Take(char c) {
    if (!Is(c)) {
      return false;
    }
    text_.remove_prefix(1);
    return true;
  }
  void Skip(std::string_view blanks) {
    while (!text_.empty() && blanks.find(text_.front()) != blanks.npos) {
      text_.remove_prefix(1);
    }
  }
  template <typename Test>
  std::string_view While(Test test) {
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
    *key = While(
        [](char c) { return IsLower(c) || IsDigit(c) || c == '_' || c == '-' || c == '.' || c == '*'; });
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
    While([](char c) {
      return IsAlpha(c) || IsDigit(c) ||
             std::string_view("!#$%&'*+-.^_`|~:/").find(c) != std::string_view::npos;
    });
    return true;
  }

  bool Bytes(Member* member) {
    text_.remove_prefix(1);
    const std::size_t end = text_.find(':');
    if (end == text_.npos) {
      return false;
    }
    member->bytes = Decode(text_.substr(0, end));
    text_.remove_prefix(end + 1);
    return member->bytes.has_value();
  }

  bool String() {
    text_.remove_prefix(1);
    while (!text_.empty()) {
      const char c = text_.front();
      text_.remove_prefix(1);
      if (c == '"') {
        return true;
      }
      if (static_cast<unsigned char>(c) < 0x20 || static_cast<unsigned char>(c) > 0x7e) {
        return false;
      }
      if (c == '\\' && !Take('"') && !Take('\\')) {
        return false;
      }
    }
    return false;
  }

  bool Number(Member* member) {
    const bool negative = Take('-');
    const std::string_view digits = While(IsDigit);
    if (digits.empty() || digits.size() > kMostDigits) {
      return false;
    }
    if (Take('.')) {  // a decimal: read over
      const std::string_view part = While(IsDigit);
      return !part.empty() && part.size() <= 3 && digits.size() <= 12;
    }
    long value = 0;
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

std::string Sha(const EVP_MD* kind, std::string_view content) {
  unsigned char out[EVP_MAX_MD_SIZE];
  unsigned size = 0;
  if (EVP_Digest(content.data(), content.size(), out, &size, kind, nullptr) != 1) {
    throw std::runtime_error("the digest cannot be computed");
  }
  return {reinterpret_cast<const char*>(out), size};
}

}  // namespace

const char* NameOf(Algorithm algorithm) {
  switch (algorithm) {
    case Algorithm::kCrc32c:
      return "crc32c";
    case Algorithm::kSha256:
      return "sha-256";
    case Algorithm::kSha512:
      return "sha-512";
  }
  return "";
}

std::optional<Algorithm> AlgorithmOf(std::string_view name) {
  for (const Algorithm algorithm : {Algorithm::kCrc32c, Algorithm::kSha256, Algorithm::kSha512}) {
    if (name == NameOf(algorithm)) {
      return algorithm;
    }
  }
  return std::nullopt;
}

std::string Digest(Algorithm algorithm, std::string_view content) {
  if (algorithm == Algorithm::kSha256) {
    return Sha(EVP_sha256(), content);
  }
  if (algorithm == Algorithm::kSha512) {
    return Sha(EVP_sha512(), content);
  }
  const std::uint32_t sum = Crc32c(content);
  std::string bytes;
  for (int shift = 24; shift >= 0; shift -= 8) {
    bytes.push_back(static_cast<char>(sum >> shift & 0xff));
  }
  return bytes;
}

std::string DigestField(Algorithm algorithm, std::string_view content) {
  return std::string(NameOf(algorithm)) + "=:" + Encode(Digest(algorithm, content)) + ":";
}

std::optional<std::vector<Member>> ReadDictionary(std::string_view field) {
  while (!field.empty() && field.back() == ' ') {
    field.remove_suffix(1);
  }
  return Parser(field).Dictionary();
}

Match Verify(std::string_view field, std::string_view content) {
  const auto members = ReadDictionary(field);
  Match match = Match::kNone;
  if (!members) {
    return match;
  }
  for (const Member& member : *members) {
    const auto algorithm = AlgorithmOf(member.key);
    if (!algorithm || !member.bytes) {
      continue;
    }
    if (*member.bytes != Digest(*algorithm, content)) {
      return Match::kDifferent;
    }
    match = Match::kGood;
  }
  return match;
}

std::optional<Algorithm> Wanted(std::string_view field) {
  std::optional<Algorithm> best;
  long most = 0;
  const auto members = ReadDictionary(field);
  if (!members) {
    return best;
  }
  for (const Member& member : *members) {
    const auto algorithm = AlgorithmOf(member.key);
    if (!algorithm || !member.integer || *member.integer <= most || *member.integer > kMostWeight) {
      continue;
    }
    most = *member.integer;
    best = algorithm;
  }
  return best;
}

}  // namespace walnutspur::integrity
