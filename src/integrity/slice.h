// Bytes that several owners hold without a copy: a part of a string that lives as long as anybody needs it.
// A write's data goes by one buffer from the client into the journal and from there into its place.
#ifndef WALNUTSPUR_INTEGRITY_SLICE_H_
#define WALNUTSPUR_INTEGRITY_SLICE_H_

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace walnutspur::integrity {

struct Slice {
  std::shared_ptr<const void> owner;  // of the bytes; null: there are none
  std::string_view bytes;

  explicit operator bool() const { return owner != nullptr; }
  Slice Part(std::size_t from, std::size_t length) const { return {owner, bytes.substr(from, length)}; }
  // Whether the other's bytes follow in memory, so that both are one part of the same string.
  bool Continues(const Slice& before) const {
    return owner == before.owner && before.bytes.data() + before.bytes.size() == bytes.data();
  }
};

inline Slice Own(std::string text) {
  auto owner = std::make_shared<const std::string>(std::move(text));
  const std::string_view bytes(*owner);
  return {std::move(owner), bytes};
}

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_SLICE_H_
