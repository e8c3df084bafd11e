#include "integrity/journal_record.h"

namespace walnutspur::integrity {

const BlockVersion* JournalOverlay::Newest(std::uint64_t block) const {
  const auto found = versions_.find(block);
  return found == versions_.end() ? nullptr : &found->second.back();
}

void JournalOverlay::EraseUpTo(std::uint64_t block, std::uint64_t sequence) {
  Versions& versions = versions_.at(block);
  std::erase_if(versions, [&](const BlockVersion& version) { return version.sequence <= sequence; });
  if (versions.empty()) {
    versions_.erase(block);
  }
}

}  // namespace walnutspur::integrity
