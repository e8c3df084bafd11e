// Parses dictionaries of HTTP structured fields (RFC 8941, 3.2), as far as digest fields use them. No state;
// safe on any thread.
#ifndef WALNUTSPUR_INTEGRITY_STRUCTURED_FIELD_H_
#define WALNUTSPUR_INTEGRITY_STRUCTURED_FIELD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace walnutspur::integrity {

// A member of a dictionary. Its value is one of the two types that digest fields use, or neither is set.
struct Member {
  std::string key;
  std::optional<std::string> bytes;
  std::optional<std::int64_t> integer;
};

// Returns the members of a dictionary, each key once with the last of its values (RFC 8941, 4.2.2). Returns
// nullopt if the field is malformed, since RFC 8941, 4.2, requires that a malformed field is ignored
// completely.
std::optional<std::vector<Member>> ReadDictionary(std::string_view field);

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_STRUCTURED_FIELD_H_
