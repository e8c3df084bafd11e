// Tests digest fields: the examples of RFC 9530, the grammar of RFC 8941, and corrupted content.
#include "integrity/digest.h"

#include <doctest/doctest.h>

#include <string>

#include "integrity/crc32c.h"

namespace walnutspur::integrity {
namespace {

const std::string kHello = "{\"hello\": \"world\"}\n";  // RFC 9530, appendix B

TEST_CASE("Crc32c, DigestField: results agree with published values") {
  CHECK(Crc32c("123456789") == 0xe3069283);
  CHECK(Crc32c(std::string(32, '\0')) == 0x8a9136aa);  // RFC 3720, B.4
  CHECK(Crc32c("6789", Crc32c("12345")) == Crc32c("123456789"));
  CHECK(DigestField(Algorithm::kSha256, kHello) == "sha-256=:RK/0qy18MlBSVnWgjwz6lZEWjP/lF5HF9bvEF8FabDg=:");
  CHECK(DigestField(Algorithm::kSha512, kHello) ==
        "sha-512=:YMAam51Jz/jOATT6/zvHrLVgOYTGFy1d6GJiOHTohq4yP+pgk4vf2aCsyRZOtw8MjkM7iw7yZ/"
        "WkppmM44T3qg==:");
}

TEST_CASE("Verify: each algorithm detects every flipped bit of the content") {
  std::string content = "a referral letter";
  for (const Algorithm algorithm : {Algorithm::kCrc32c, Algorithm::kSha256, Algorithm::kSha512}) {
    const std::string field = DigestField(algorithm, content);
    CHECK(Verify(field, content) == Match::kGood);
    for (std::size_t bit = 0; bit < content.size() * 8; ++bit) {
      content[bit / 8] ^= static_cast<char>(1 << bit % 8);
      CHECK(Verify(field, content) == Match::kDifferent);
      content[bit / 8] ^= static_cast<char>(1 << bit % 8);
    }
  }
}

TEST_CASE("Verify: a malformed field or an unknown algorithm is ignored") {
  for (const char* field : {"",
                            "sha-256",
                            "sha-256=",
                            "sha-256=:",
                            "sha-256=:x",
                            "sha-256=:$$$$:",
                            "SHA-256=:AAAA:",
                            "=:AAAA:",
                            "md5=:AAAA:",
                            "sha-256=abc",
                            "sha-256=\"AAAA\"",
                            "sha-256=:AAAA:,",
                            "sha-256=:AAAA: x",
                            "sha-256=(:AAAA:",
                            "sha-256=:A:",
                            "crc32c=:AAAAA===:",
                            ",",
                            "a=1;",
                            "a=1.",
                            "a=1.2345",
                            "a=1234567890123456",
                            "a=?2",
                            R"(a="\x")"}) {
    CAPTURE(field);
    CHECK(Verify(field, "x") == Match::kNone);
  }
}

TEST_CASE("Verify: other members of the field do not invalidate a well-formed digest") {
  const std::string good = DigestField(Algorithm::kCrc32c, "x");
  for (const std::string& field :
       {"md5=:AAAA:, " + good, good + ";q=1;a=\"b;,\"", "a=(1 2.5 \"x\");b, " + good,
        "  " + good + " \t, b=?1", good + ", c=tok/en:*",
        "crc32c=:AAAA:, " + good}) {  // of two equal keys, the last one counts
    CAPTURE(field);
    CHECK(Verify(field, "x") == Match::kGood);
    CHECK(Verify(field, "y") == Match::kDifferent);
  }
  CHECK(Verify(good + ", sha-256=:AAAA:", "x") == Match::kDifferent);        // one mismatch is enough
  CHECK(Verify("crc32c=:" + good.substr(8, 6) + ":", "x") == Match::kGood);  // padding may be missing
}

TEST_CASE("PreferredAlgorithm: returns the known algorithm of the highest weight") {
  CHECK(PreferredAlgorithm("sha-512=3, sha-256=10, unixsum=11") == Algorithm::kSha256);
  CHECK(PreferredAlgorithm("sha-256=0") == std::nullopt);
  CHECK(PreferredAlgorithm("sha-256=11, crc32c=1") == Algorithm::kCrc32c);
  CHECK(PreferredAlgorithm("md5=10") == std::nullopt);
  CHECK(PreferredAlgorithm("sha-256=:AAAA:") == std::nullopt);
  CHECK(PreferredAlgorithm("sha-256=-1") == std::nullopt);
}

}  // namespace
}  // namespace walnutspur::integrity
