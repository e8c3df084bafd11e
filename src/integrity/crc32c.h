// CRC32C (Castagnoli; RFC 3720, appendix B.4), by ISA-L. No state; safe on any thread.
#ifndef WALNUTSPUR_INTEGRITY_CRC32C_H_
#define WALNUTSPUR_INTEGRITY_CRC32C_H_

#include <isa-l/crc.h>

#include <cstdint>
#include <string_view>

namespace walnutspur::integrity {

// The checksum of the bytes that `so_far` is the checksum of, followed by `bytes`.
inline std::uint32_t Crc32c(std::string_view bytes, std::uint32_t so_far = 0) {
  // ISA-L takes a mutable pointer and an int; it does not write, and nothing here is near 2 GiB.
  auto* data = reinterpret_cast<unsigned char*>(const_cast<char*>(bytes.data()));
  return ~crc32_iscsi(data, static_cast<int>(bytes.size()), ~so_far);
}

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_CRC32C_H_
