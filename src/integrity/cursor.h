// The cursors of the scrub, from which it continues in the next process, and their stored format: versioned
// and checksummed text. No I/O and no state; safe on any thread.
#ifndef WALNUTSPUR_INTEGRITY_CURSOR_H_
#define WALNUTSPUR_INTEGRITY_CURSOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace walnutspur::integrity {

// Where the scrub of one export is.
struct Cursor {
  std::uint64_t block = 0;   // the next one of the round
  std::uint64_t rounds = 0;  // that are complete
  std::int64_t since = 0;    // when this round began, microseconds of Unix time
  bool operator==(const Cursor&) const = default;
};
using Cursors = std::map<std::string, Cursor>;  // by the export's name

// Leaves out exports with a line break in their name.
std::string Encode(const Cursors& cursors);
// Nothing, with one line in `error`, if the bytes are truncated, corrupt or of a newer version.
std::optional<Cursors> DecodeCursors(std::string_view bytes, std::string* error);

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_CURSOR_H_
