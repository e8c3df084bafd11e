// Encodes and decodes the cursors from which the next process continues the scrub. The stored format is
// versioned and checksummed text. No I/O and no state; safe on any thread.
#ifndef WALNUTSPUR_INTEGRITY_CURSOR_H_
#define WALNUTSPUR_INTEGRITY_CURSOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace walnutspur::integrity {

// The position of the scrub of one export.
struct Cursor {
  std::uint64_t block = 0;   // the next block of the round
  std::uint64_t rounds = 0;  // completed rounds
  std::int64_t since = 0;    // when this round began, microseconds of Unix time
  bool operator==(const Cursor&) const = default;
};
using Cursors = std::map<std::string, Cursor>;  // by the export's name

// Returns the cursors in their stored format, without exports that have a line break in their name.
std::string Encode(const Cursors& cursors);
// Returns nullopt and sets `*error` to a one-line message if the bytes are truncated, corrupt or of a newer
// version.
std::optional<Cursors> DecodeCursors(std::string_view bytes, std::string* error);

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_CURSOR_H_
