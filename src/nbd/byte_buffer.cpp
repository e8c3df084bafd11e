#include "nbd/byte_buffer.h"

#include <algorithm>

namespace walnutspur::nbd {

std::string Buffer::Take(std::size_t size) {
  std::string taken(Peek(size));
  Skip(taken.size());
  return taken;
}

// Moves the remaining bytes to the start of the buffer once more than half of it has been processed, so that
// the amortized cost per byte is constant.
std::size_t Buffer::Skip(std::size_t wanted) {
  const std::size_t skipped = std::min(wanted, size());
  begin_ += skipped;
  if (begin_ == bytes_.size()) {
    bytes_.clear();
    begin_ = 0;
  } else if (begin_ > bytes_.size() / 2) {
    bytes_.erase(0, begin_);
    begin_ = 0;
  }
  return skipped;
}

}  // namespace walnutspur::nbd
