// Stores and loads little-endian integers in byte buffers, for the stored formats of this folder. No state;
// safe on any thread.
#ifndef WALNUTSPUR_INTEGRITY_LITTLE_ENDIAN_H_
#define WALNUTSPUR_INTEGRITY_LITTLE_ENDIAN_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace walnutspur::integrity {

constexpr unsigned kBitsPerByte = 8;

// Writes sizeof(T) bytes.
template <typename T>
void StoreLittleEndian(T value, char* out) {
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    out[i] = static_cast<char>(static_cast<std::uint64_t>(value) >> (kBitsPerByte * i) & 0xff);
  }
}

// Reads sizeof(T) bytes; `bytes` must have at least as many.
template <typename T>
T LoadLittleEndian(std::string_view bytes) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i])) << (kBitsPerByte * i);
  }
  return static_cast<T>(value);
}

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_LITTLE_ENDIAN_H_
