#include "integrity/digest.h"

#include <openssl/evp.h>

#include <cstdint>

#include "integrity/crc32c.h"
#include "integrity/structured_field.h"

namespace walnutspur::integrity {
namespace {

// Highest weight of an algorithm in a Want-* field (RFC 9530, 4).
constexpr std::int64_t kMaxWeight = 10;

std::string EncodeBase64(std::string_view bytes) {
  std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
  out.resize(static_cast<std::size_t>(size));
  return out;
}

std::string Sha(const EVP_MD* kind, std::string_view content) {
  unsigned char out[EVP_MAX_MD_SIZE];
  unsigned size = 0;
  if (EVP_Digest(content.data(), content.size(), out, &size, kind, nullptr) != 1) {
    throw DigestError("cannot compute the digest: EVP_Digest failed");
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
  return std::string(NameOf(algorithm)) + "=:" + EncodeBase64(Digest(algorithm, content)) + ":";
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

std::optional<Algorithm> PreferredAlgorithm(std::string_view field) {
  std::optional<Algorithm> best;
  std::int64_t highest_weight = 0;
  const auto members = ReadDictionary(field);
  if (!members) {
    return best;
  }
  for (const Member& member : *members) {
    const auto algorithm = AlgorithmOf(member.key);
    if (!algorithm || !member.integer || *member.integer <= highest_weight || *member.integer > kMaxWeight) {
      continue;
    }
    highest_weight = *member.integer;
    best = algorithm;
  }
  return best;
}

}  // namespace walnutspur::integrity
