// The kinds of data corruption that the storage server injects, their names on the command line, and bit
// flips.
//
// Owns nothing; any thread, as far as the generator that is passed in belongs to it.
#ifndef WALNUTSPUR_LAB_STORAGE_SERVER_DAMAGE_H_
#define WALNUTSPUR_LAB_STORAGE_SERVER_DAMAGE_H_

#include <array>
#include <pcg_random.hpp>
#include <string>

namespace walnutspur::lab {

enum class Damage {
  kFlipPath,  // bit flips in one response, on one path
  kFlipRest,  // bit flips in the stored data
  kLost,      // lost write: acknowledged and not carried out
  kAstray,    // misdirected write: carried out at another place
  kStale,     // stale read: returns the content before the last write
  kTorn       // torn write: only some of its sectors are written
};

inline constexpr std::array kAllDamage = {Damage::kFlipPath, Damage::kFlipRest, Damage::kLost,
                                          Damage::kAstray,   Damage::kStale,    Damage::kTorn};

// The name on the command line and in reports.
const char* NameOf(Damage damage);

// Flips `bits` different bits of the bytes, or all bits where there are fewer.
void FlipBits(std::string* bytes, int bits, pcg64* random);

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_STORAGE_SERVER_DAMAGE_H_
