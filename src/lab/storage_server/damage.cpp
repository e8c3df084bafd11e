#include "lab/storage_server/damage.h"

#include <cstdint>
#include <set>

namespace walnutspur::lab {

const char* NameOf(Damage damage) {
  switch (damage) {
    case Damage::kFlipPath:
      return "flip-path";
    case Damage::kFlipRest:
      return "flip-rest";
    case Damage::kLost:
      return "lost";
    case Damage::kAstray:
      return "astray";
    case Damage::kStale:
      return "stale";
    case Damage::kTorn:
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
