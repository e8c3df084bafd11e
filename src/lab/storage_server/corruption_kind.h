// Defines the kinds of data corruption that the storage server injects, their names on the command line, and
// bit flips.
//
// Owns nothing. May be called on any thread that owns the generator passed in.
#ifndef WALNUTSPUR_LAB_STORAGE_SERVER_CORRUPTION_KIND_H_
#define WALNUTSPUR_LAB_STORAGE_SERVER_CORRUPTION_KIND_H_

#include <array>
#include <pcg_random.hpp>
#include <string>

namespace walnutspur::lab {

enum class CorruptionKind {
  kTransitBitFlip,    // bit flips in one response, on one path
  kStoredBitFlip,     // bit flips in the stored data
  kLostWrite,         // lost write: acknowledged but not executed
  kMisdirectedWrite,  // misdirected write: executed at another offset
  kStaleRead,         // stale read: returns the content before the last write
  kTornWrite          // torn write: only some of its sectors are written
};

inline constexpr std::array kAllCorruptionKinds = {
    CorruptionKind::kTransitBitFlip,   CorruptionKind::kStoredBitFlip, CorruptionKind::kLostWrite,
    CorruptionKind::kMisdirectedWrite, CorruptionKind::kStaleRead,     CorruptionKind::kTornWrite};

// Returns the name of the kind on the command line and in reports.
const char* NameOf(CorruptionKind kind);

// Flips `bits` different bits of the bytes, or all bits if there are fewer.
void FlipBits(std::string* bytes, int bits, pcg64* random);

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_STORAGE_SERVER_CORRUPTION_KIND_H_
