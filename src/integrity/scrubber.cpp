#include "integrity/scrubber.h"

#include <algorithm>

namespace walnutspur::integrity {
namespace {

// Maximum number of blocks queued for another read. Blocks beyond it are read again only by the round.
constexpr std::size_t kMaxRechecks = 1024;

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
  if (!retries_.empty()) {
    const std::uint64_t chunk = retries_.front();
    retries_.pop_front();
    in_flight_.insert(chunk);
    return Chunk(chunk);
  }
  if (next_ >= chunks_) {
    // The next round must not overtake reads of this one.
    if (!in_flight_.empty() || chunks_ == 0) {
      return std::nullopt;
    }
    next_ = 0;
  }
  in_flight_.insert(next_);
  return Chunk(next_++);
}

int Scrubber::OnRead(const Range& range) {
  if (range.recheck) {
    rechecking_.erase(range.first);
    return 0;
  }
  return static_cast<int>(in_flight_.erase(range.first / chunk_));
}

void Scrubber::OnReadFailed(const Range& range) {
  if (range.recheck) {
    rechecks_.push_back(range.first);
  } else if (in_flight_.erase(range.first / chunk_) > 0) {
    retries_.push_back(range.first / chunk_);
  }
}

void Scrubber::Recheck(std::uint64_t block) {
  if (block >= blocks_ || rechecking_.size() >= kMaxRechecks || !rechecking_.insert(block).second) {
    return;
  }
  rechecks_.push_back(block);
}

std::uint64_t Scrubber::position() const {
  std::uint64_t first_unread = next_;
  if (!in_flight_.empty()) {
    first_unread = std::min(first_unread, *in_flight_.begin());
  }
  for (const std::uint64_t chunk : retries_) {
    first_unread = std::min(first_unread, chunk);
  }
  return first_unread;
}

}  // namespace walnutspur::integrity
