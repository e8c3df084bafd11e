#include "lab/storage_server/corruption_kind.h"

#include <cstdint>
#include <set>

namespace walnutspur::lab {

const char* NameOf(CorruptionKind kind) {
  switch (kind) {
    case CorruptionKind::kTransitBitFlip:
      return "flip-path";
    case CorruptionKind::kStoredBitFlip:
      return "flip-rest";
    case CorruptionKind::kLostWrite:
      return "lost";
    case CorruptionKind::kMisdirectedWrite:
      return "astray";
    case CorruptionKind::kStaleRead:
      return "stale";
    case CorruptionKind::kTornWrite:
      return "torn";
  }
  return "";
}

void FlipBits(std::string* bytes, int bits, pcg64* random) {
  const std::uint64_t total_bits = bytes->size() * 8;
  std::set<std::uint64_t> flipped;
  while (static_cast<int>(flipped.size()) < bits && flipped.size() < total_bits) {
    const std::uint64_t bit = (*random)() % total_bits;
    if (flipped.insert(bit).second) {
      (*bytes)[bit / 8] ^= static_cast<char>(1 << bit % 8);
    }
  }
}

}  // namespace walnutspur::lab
