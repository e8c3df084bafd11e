// Digest fields of HTTP (RFC 9530): Content-Digest, Repr-Digest and their Want-* counterparts, read as
// dictionaries of structured fields (RFC 8941, 3.2) and verified. No sockets.
#ifndef WALNUTSPUR_INTEGRITY_DIGEST_H_
#define WALNUTSPUR_INTEGRITY_DIGEST_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace walnutspur::integrity {

// Of the registry (RFC 9530, 7.2): the two that are active, and crc32c, which tells damage but not forgery
// and costs next to nothing.
enum class Algorithm { kCrc32c, kSha256, kSha512 };

const char* NameOf(Algorithm algorithm);
std::optional<Algorithm> AlgorithmOf(std::string_view name);  // nothing: not one that is known here

// The digest's bytes.
std::string Digest(Algorithm algorithm, std::string_view content);

// The value of a digest field that holds this one digest: "crc32c=:wCyzPA==:".
std::string DigestField(Algorithm algorithm, std::string_view content);

struct Member {
  std::string key;
  // What stands for the key, if it is one of the two types that digest fields use; another type is read over.
  std::optional<std::string> bytes;
  std::optional<long> integer;
};

// The members of a dictionary, each key once and the last of its values (RFC 8941, 4.2.2); nothing if the
// field cannot be read, which by 4.2 is as if it were not there.
std::optional<std::vector<Member>> ReadDictionary(std::string_view field);

enum class Match {
  kNone,  // no field, none that can be read, or no algorithm that is known: nothing is said of the content
  kGood,  // all known algorithms agree
  kDifferent,  // at least one does not
};
Match Verify(std::string_view field, std::string_view content);

// What a Want-* field asks for: of the known algorithms the one with the highest weight, 1 to 10; 0 is "not
// this one" (RFC 9530, 4). Nothing if there is none.
std::optional<Algorithm> Wanted(std::string_view field);

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_DIGEST_H_
