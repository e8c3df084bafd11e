// Integers in network byte order, and a buffer of received bytes. Plain data; any thread.
#ifndef WALNUTSPUR_NBD_BYTE_BUFFER_H_
#define WALNUTSPUR_NBD_BYTE_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace walnutspur::nbd {

constexpr int kBitsPerByte = 8;
constexpr unsigned kByteMask = 0xff;

// Appends an integer.
template <typename T>
void Put(T value, std::string* out) {
  for (int shift = kBitsPerByte * (sizeof(T) - 1); shift >= 0; shift -= kBitsPerByte) {
    out->push_back(static_cast<char>(value >> shift & kByteMask));
  }
}

// Reads an integer at an offset; the bytes must be there.
template <typename T>
T Get(std::string_view bytes, std::size_t at = 0) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    value = value << kBitsPerByte | static_cast<unsigned char>(bytes[at + i]);
  }
  return static_cast<T>(value);
}

// Reads a message's fields one after the other; the bytes must be there.
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

// Bytes that were received and not processed yet.
class Buffer {
 public:
  void Add(std::string_view bytes) { bytes_.append(bytes); }
  std::size_t size() const { return bytes_.size() - begin_; }

  // The first bytes, at most `size`, left in place. Valid until the buffer changes.
  std::string_view Peek(std::size_t size) const { return std::string_view{bytes_}.substr(begin_, size); }
  // Removes the first bytes, at most `size`, and returns them.
  std::string Take(std::size_t size);
  // Removes the first bytes, at most `wanted`, and returns how many.
  std::size_t Skip(std::size_t wanted);

 private:
  std::string bytes_;
  std::size_t begin_ = 0;  // the first byte that is not processed yet
};

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_BYTE_BUFFER_H_
