#include "lab/storage_server/damage.h"

#include <cstdint>
#include <set>

namespace walnutspur::lab {

const char* NameOf(Damage damage) {
  switch (damage) {
    case Damage::kTransitBitFlip:
      return "flip-path";
    case Damage::kStoredBitFlip:
      return "flip-rest";
    case Damage::kLostWrite:
      return "lost";
    case Damage::kMisdirectedWrite:
      return "astray";
    case Damage::kStaleRead:
      return "stale";
    case Damage::kTornWrite:
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
