#include "integrity/scrubber.h"

#include <algorithm>

namespace walnutspur::integrity {
namespace {

constexpr std::size_t kMostRechecks = 1024;  // beyond, the round itself comes to them

}  // namespace

Scrubber::Scrubber(std::uint64_t blocks, std::uint64_t chunk, std::uint64_t position)
    : blocks_(blocks), chunk_(std::max<std::uint64_t>(1, chunk)), chunks_((blocks + chunk_ - 1) / chunk_) {
  next_ = position < chunks_ ? position : 0;
}

Scrubber::Range Scrubber::Chunk(std::uint64_t number) const {
  const std::uint64_t first = number * chunk_;
  return {first, std::min(chunk_, blocks_ - first), false};
}

std::optional<Scrubber::Range> Scrubber::Next() {
  if (!rechecks_.empty()) {
    const std::uint64_t block = rechecks_.front();
    rechecks_.pop_front();
    return Range{block, 1, true};
  }
  if (!again_.empty()) {
    const std::uint64_t chunk = again_.front();
    again_.pop_front();
    under_way_.insert(chunk);
    return Chunk(chunk);
  }
  if (next_ >= chunks_) {
    // A round ends with its last answer: the next one must not overtake it.
    if (!under_way_.empty() || chunks_ == 0) {
      return std::nullopt;
    }
    next_ = 0;
    ++rounds_;
  }
  under_way_.insert(next_);
  return Chunk(next_++);
}

int Scrubber::Done(const Range& range) {
  if (range.recheck) {
    rechecking_.erase(range.first);
    return 0;
  }
  return static_cast<int>(under_way_.erase(range.first / chunk_));
}

void Scrubber::Failed(const Range& range) {
  if (range.recheck) {
    rechecks_.push_back(range.first);
  } else if (under_way_.erase(range.first / chunk_) > 0) {
    again_.push_back(range.first / chunk_);
  }
}

void Scrubber::Recheck(std::uint64_t block) {
  if (block >= blocks_ || rechecking_.size() >= kMostRechecks || !rechecking_.insert(block).second) {
    return;
  }
  rechecks_.push_back(block);
}

std::uint64_t Scrubber::position() const {
  std::uint64_t least = next_;
  if (!under_way_.empty()) {
    least = std::min(least, *under_way_.begin());
  }
  for (const std::uint64_t chunk : again_) {
    least = std::min(least, chunk);
  }
  return least;
}

}  // namespace walnutspur::integrity
