// libFuzzer on all that reads bytes from outside: digest fields, superblock, tag blocks, records, the
// ledger and the scrub's cursors. The first byte says which. Beside not crashing, what is taken must be given
// back the same.
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "integrity/crc32c.h"
#include "integrity/cursor.h"
#include "integrity/digest.h"
#include "integrity/layout.h"
#include "integrity/ledger.h"

using namespace walnutspur::integrity;

namespace {

void Must(bool holds) {
  if (!holds) std::abort();
}

constexpr std::uint64_t kExport = 42, kSize = 1 << 20;

void Digests(std::string_view text) {
  const auto members = ReadDictionary(text);
  const Match match = Verify(text, "content");
  if (!members) Must(match == Match::kNone && !Wanted(text));
  // A digest of ours in front of what can be read as well still counts, unless the rest names it again.
  if (members && !members->empty() && text.find("crc32c") == text.npos && match != Match::kDifferent) {
    std::string both = DigestField(Algorithm::kCrc32c, "content") + ", ";
    both += text.substr(text.find_first_not_of(' '));
    Must(Verify(both, "content") == Match::kGood);
  }
}

void Super(std::string_view bytes) {
  std::string block(bytes.substr(0, kBlock));
  block.resize(kBlock, '\0');
  const SuperRead read = DecodeSuper(block, kSize);
  if (read.state == SuperState::kWhole)
    Must(Encode(read.super).substr(0, kSector) == block.substr(0, kSector));
}

void Tags(std::string_view bytes) {
  const auto block = DecodeTags(bytes, kExport, 1);
  if (block && block->version > 0) Must(DecodeTags(Encode(*block, kExport), kExport, 1)->tags == block->tags);
}

void Records(std::string_view bytes) {
  const auto head = DecodeHead(bytes, kExport);
  if (!head) return;
  Must(head->blocks.size() <= kMostRecordBlocks);
  DataFits(*head, bytes, kExport);
}

void Ledgers(std::string_view bytes) {
  Ledger ledger(16);
  std::string what;
  if (!ledger.Decode(bytes, &what)) {
    Must(!what.empty() && what.find('\n') == what.npos && ledger.entries().empty());
    return;
  }
  Ledger again(16);
  Must(again.Decode(ledger.Encode(), &what) && again.entries() == ledger.entries());
}

// With a sum that fits, so that what lies behind it is reached.
void ReadCursors(std::string_view bytes) {
  std::string what, text = "walnutspur-scrub 1\n" + std::string(bytes) + "\n";
  text += "sum " + std::to_string(Crc32c(text)) + "\n";
  const auto cursors = DecodeCursors(text, &what);
  Must(cursors || !what.empty());
  if (cursors) Must(DecodeCursors(Encode(*cursors), &what) == cursors);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return 0;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  switch (data[0] % 5) {
    case 0:
      Digests(bytes);
      break;
    case 1:
      Super(bytes);
      break;
    case 2:
      Tags(bytes);
      break;
    case 3:
      Records(bytes);
      break;
    case 4:
      Ledgers(bytes);
      ReadCursors(bytes);
      break;
  }
  return 0;
}
