#include "pcap/reassembly.h"

namespace walnutspur::pcap {

void Reassembly::Begin(std::uint32_t first) {
  if (begun_) {
    return;
  }
  begun_ = true;
  next_sequence_ = first;
}

void Reassembly::Add(std::uint32_t sequence, std::string_view bytes, std::size_t missing_bytes) {
  Begin(sequence);
  const auto ahead = static_cast<std::int32_t>(sequence - next_sequence_);  // sequence numbers wrap around
  if (ahead < 0) {  // a complete or partial retransmission
    const auto known = static_cast<std::size_t>(-static_cast<std::int64_t>(ahead));
    if (known < bytes.size()) {
      Add(next_sequence_, bytes.substr(known), missing_bytes);
    }
    return;
  }
  if (truncated_ || bytes.empty()) {
    truncated_ = truncated_ || missing_bytes > 0;
    return;
  }
  if (bytes_.size() + pending_bytes_ + bytes.size() > max_bytes_) {
    truncated_ = true;
    return;
  }
  if (ahead > 0) {
    AddPending(static_cast<std::uint32_t>(bytes_.size()) + static_cast<std::uint32_t>(ahead), bytes);
    return;
  }
  bytes_.append(bytes);
  next_sequence_ += static_cast<std::uint32_t>(bytes.size());
  if (missing_bytes > 0) {  // all further bytes are after a gap
    truncated_ = true;
    return;
  }
  AppendPending();
}

// Stores a segment that is after a gap. Of several segments at the same position, the longest is stored.
void Reassembly::AddPending(std::uint32_t position, std::string_view bytes) {
  std::string& held = pending_[position];
  if (bytes.size() <= held.size()) {
    return;
  }
  pending_bytes_ += bytes.size() - held.size();
  held = bytes;
}

// Appends the pending segments that are no longer after a gap.
void Reassembly::AppendPending() {
  while (!pending_.empty() && pending_.begin()->first <= bytes_.size()) {
    const auto node = pending_.extract(pending_.begin());
    const std::string& held = node.mapped();
    pending_bytes_ -= held.size();
    const std::size_t known = bytes_.size() - node.key();
    if (known >= held.size()) {
      continue;
    }
    bytes_.append(held, known);
    next_sequence_ += static_cast<std::uint32_t>(held.size() - known);
  }
}

}  // namespace walnutspur::pcap
