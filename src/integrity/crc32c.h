// CRC32C (Castagnoli; RFC 3720, appendix B.4), by ISA-L. No state; safe on any thread.
#ifndef WALNUTSPUR_INTEGRITY_CRC32C_H_
#define WALNUTSPUR_INTEGRITY_CRC32C_H_

#include <isa-l/crc.h>

#include <cstdint>
#include <string_view>

namespace walnutspur::integrity {

// Returns the checksum of `bytes` appended to other bytes whose checksum is `previous`. `bytes` must be
// shorter than 2 GiB.
inline std::uint32_t Crc32c(std::string_view bytes, std::uint32_t previous = 0) {
  // ISA-L takes a mutable pointer, through which it does not write.
  auto* data = reinterpret_cast<unsigned char*>(const_cast<char*>(bytes.data()));
  return ~crc32_iscsi(data, static_cast<int>(bytes.size()), ~previous);
}

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_CRC32C_H_
