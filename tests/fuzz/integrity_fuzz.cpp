// Fuzzes, as a libFuzzer target, all decoders of external bytes: digest fields, superblock, tag blocks,
// journal records, the corruption log and the scrub's cursors. The first byte selects the decoder. Bytes that
// decode must encode to the same bytes.
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "integrity/corruption_log.h"
#include "integrity/crc32c.h"
#include "integrity/cursor.h"
#include "integrity/digest.h"
#include "integrity/layout.h"
#include "integrity/structured_field.h"

using namespace walnutspur::integrity;

namespace {

// Aborts if the invariant does not hold, which the fuzzer reports.
void Require(bool holds) {
  if (!holds) {
    std::abort();
  }
}

constexpr std::uint64_t kExport = 42;
constexpr std::uint64_t kSize = 1 << 20;  // bytes of the export

void CheckDigests(std::string_view text) {
  const auto members = ReadDictionary(text);
  const Match match = Verify(text, "content");
  if (!members) {
    Require(match == Match::kNone && !PreferredAlgorithm(text));
  }
  // A valid digest ahead of other well-formed members is verified, unless they name the same algorithm.
  if (members && !members->empty() && text.find("crc32c") == std::string_view::npos &&
      match != Match::kDifferent) {
    std::string both = DigestField(Algorithm::kCrc32c, "content") + ", ";
    both += text.substr(text.find_first_not_of(' '));
    Require(Verify(both, "content") == Match::kGood);
  }
}

void CheckSuperblock(std::string_view bytes) {
  std::string block(bytes.substr(0, kBlockBytes));
  block.resize(kBlockBytes, '\0');
  const DecodedSuperblock decoded = DecodeSuperblock(block, kSize);
  if (decoded.state == SuperblockState::kValid) {
    Require(Encode(decoded.superblock).substr(0, kSectorBytes) == block.substr(0, kSectorBytes));
  }
}

void CheckTags(std::string_view bytes) {
  const auto tag_block = DecodeTagBlock(bytes, kExport, 1);
  if (tag_block && tag_block->version > 0) {
    Require(DecodeTagBlock(Encode(*tag_block, kExport), kExport, 1)->tags == tag_block->tags);
  }
}

void CheckRecords(std::string_view bytes) {
  const auto header = DecodeRecordHeader(bytes, kExport);
  if (!header) {
    return;
  }
  Require(header->blocks.size() <= kMaxRecordBlocks);
  RecordDataMatches(*header, bytes, kExport);
}

void CheckCorruptionLog(std::string_view bytes) {
  CorruptionLog log(16);
  std::string error;
  if (!log.Decode(bytes, &error)) {
    Require(!error.empty() && error.find('\n') == error.npos && log.entries().empty());
    return;
  }
  CorruptionLog copy(16);
  Require(copy.Decode(log.Encode(), &error) && copy.entries() == log.entries());
}

// Adds a valid checksum so that the fuzzer reaches the code behind it.
void CheckCursors(std::string_view bytes) {
  std::string error;
  std::string text = "walnutspur-scrub 1\n" + std::string(bytes) + "\n";
  text += "sum " + std::to_string(Crc32c(text)) + "\n";
  const auto cursors = DecodeCursors(text, &error);
  Require(cursors || !error.empty());
  if (cursors) {
    Require(DecodeCursors(Encode(*cursors), &error) == cursors);
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) {
    return 0;
  }
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  switch (data[0] % 5) {
    case 0:
      CheckDigests(bytes);
      break;
    case 1:
      CheckSuperblock(bytes);
      break;
    case 2:
      CheckTags(bytes);
      break;
    case 3:
      CheckRecords(bytes);
      break;
    case 4:
      CheckCorruptionLog(bytes);
      CheckCursors(bytes);
      break;
  }
  return 0;
}
