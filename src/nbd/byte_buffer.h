// Encodes and decodes integers in network byte order, and buffers received bytes. No shared state; usable
// from any thread.
#ifndef WALNUTSPUR_NBD_BYTE_BUFFER_H_
#define WALNUTSPUR_NBD_BYTE_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace walnutspur::nbd {

constexpr int kBitsPerByte = 8;
constexpr unsigned kByteMask = 0xff;

// Appends an integer in network byte order.
template <typename T>
void Put(T value, std::string* out) {
  for (int shift = kBitsPerByte * (sizeof(T) - 1); shift >= 0; shift -= kBitsPerByte) {
    out->push_back(static_cast<char>(value >> shift & kByteMask));
  }
}

// Returns the integer at offset `at`. `bytes` must contain all of its bytes.
template <typename T>
T Get(std::string_view bytes, std::size_t at = 0) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    value = value << kBitsPerByte | static_cast<unsigned char>(bytes[at + i]);
  }
  return static_cast<T>(value);
}

// Class FieldReader reads the fields of a message in order. The message must contain all of them.
class FieldReader {
 public:
  explicit FieldReader(std::string_view bytes) : rest_(bytes) {}

  template <typename T>
  T Next() {
    const T value = Get<T>(rest_);
    rest_.remove_prefix(sizeof(T));
    return value;
  }
  std::string_view rest() const { return rest_; }

 private:
  std::string_view rest_;
};

// Class Buffer holds received bytes that have not been processed yet.
class Buffer {
 public:
  void Add(std::string_view bytes) { bytes_.append(bytes); }
  std::size_t size() const { return bytes_.size() - begin_; }

  // Returns the first bytes, at most `size`, without removing them. Valid until the buffer changes.
  std::string_view Peek(std::size_t size) const { return std::string_view{bytes_}.substr(begin_, size); }
  // Removes the first bytes, at most `size`, and returns them.
  std::string Take(std::size_t size);
  // Removes the first bytes, at most `wanted`, and returns the number of bytes removed.
  std::size_t Skip(std::size_t wanted);

 private:
  std::string bytes_;
  std::size_t begin_ = 0;  // offset of the first byte that has not been processed
};

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_BYTE_BUFFER_H_
