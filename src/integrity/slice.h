// Struct Slice is a part of a reference-counted string, whose bytes several owners share without a copy. The
// data of a write stays in one buffer from the client's request through the journal until the checkpoint has
// written it in place. Immutable, so that it may be read on any thread.
#ifndef WALNUTSPUR_INTEGRITY_SLICE_H_
#define WALNUTSPUR_INTEGRITY_SLICE_H_

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace walnutspur::integrity {

struct Slice {
  std::shared_ptr<const void> owner;  // of the bytes; null: an empty slice
  std::string_view bytes;

  explicit operator bool() const { return owner != nullptr; }
  Slice Subslice(std::size_t from, std::size_t length) const { return {owner, bytes.substr(from, length)}; }
  // Returns whether these bytes directly follow those of `before` in the same string.
  bool Continues(const Slice& before) const {
    return owner == before.owner && before.bytes.data() + before.bytes.size() == bytes.data();
  }
  // Appends a slice that continues this one.
  void ExtendBy(const Slice& next) { bytes = {bytes.data(), bytes.size() + next.bytes.size()}; }
};

// Returns a slice that owns the text.
inline Slice Own(std::string text) {
  auto owner = std::make_shared<const std::string>(std::move(text));
  const std::string_view bytes(*owner);
  return {std::move(owner), bytes};
}

// Appends a slice to the parts of a write. Merges it into the last part if it directly follows that part, as
// the blocks of one write usually do.
inline void AppendSlice(std::vector<Slice>* parts, const Slice& slice) {
  if (!parts->empty() && slice.Continues(parts->back())) {
    parts->back().ExtendBy(slice);
    return;
  }
  parts->push_back(slice);
}

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_SLICE_H_
