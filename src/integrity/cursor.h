// Where the scrub of each export stood, as bytes that a folder keeps: versioned, checksummed, whole or not at
// all. No I/O.
#ifndef WALNUTSPUR_INTEGRITY_CURSOR_H_
#define WALNUTSPUR_INTEGRITY_CURSOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace walnutspur::integrity {

struct Cursor {
  std::uint64_t block = 0;   // the round goes on here
  std::uint64_t rounds = 0;  // whole ones
  std::int64_t since = 0;    // when this round began, microseconds of Unix time
  bool operator==(const Cursor&) const = default;
};
using Cursors = std::map<std::string, Cursor>;  // by the export's name

std::string Encode(const Cursors& cursors);
// Nothing, and a line in `what`, if the bytes are cut off, damaged or of a newer version.
std::optional<Cursors> DecodeCursors(std::string_view bytes, std::string* what);

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_CURSOR_H_
