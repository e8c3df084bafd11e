// Computes and verifies digest fields of HTTP (RFC 9530): Content-Digest, Repr-Digest and their Want-*
// counterparts. No I/O and no state; safe on any thread. A field that cannot be parsed counts as absent.
#ifndef WALNUTSPUR_INTEGRITY_DIGEST_H_
#define WALNUTSPUR_INTEGRITY_DIGEST_H_

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace walnutspur::integrity {

// The supported algorithms of the registry (RFC 9530, 7.2): the two active ones, and crc32c, which is much
// cheaper and detects corruption but not tampering.
enum class Algorithm { kCrc32c, kSha256, kSha512 };

const char* NameOf(Algorithm algorithm);
std::optional<Algorithm> AlgorithmOf(std::string_view name);  // nullopt: not supported

// Thrown if a digest cannot be computed.
class DigestError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Returns the digest of the content as bytes. Throws DigestError.
std::string Digest(Algorithm algorithm, std::string_view content);

// Returns the value of a digest field with this digest only, for example "crc32c=:wCyzPA==:".
std::string DigestField(Algorithm algorithm, std::string_view content);

enum class Match {
  kNone,      // no field, a malformed one, or no supported algorithm: the content cannot be verified
  kGood,      // the digests of all supported algorithms match
  kDifferent  // at least one does not
};
// Verifies content against a digest field.
Match Verify(std::string_view field, std::string_view content);

// Returns the algorithm that a Want-* field prefers: the supported one with the highest weight from 1 to 10;
// a weight of 0 excludes an algorithm (RFC 9530, 4). Returns nullopt if there is none.
std::optional<Algorithm> PreferredAlgorithm(std::string_view field);

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_DIGEST_H_
