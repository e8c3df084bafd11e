#include "integrity/tag_cache.h"

#include <algorithm>
#include <utility>

namespace walnutspur::integrity {
namespace {

// Consecutive equal readings after which a slot that does not decode counts as corrupt on storage or torn by
// a crash. Until then it may have been corrupted in transit.
constexpr int kConfirmingReadings = 3;

}  // namespace

const TagBlock* TagCache::Find(std::uint64_t index) {
  const auto found = cached_.find(index);
  if (found == cached_.end()) {
    return nullptr;
  }
  usage_.splice(usage_.begin(), usage_, found->second.usage);
  return &found->second.tags;
}

const Tag& TagCache::TagOf(std::uint64_t block) const {
  return cached_.at(TagBlockOf(block)).tags.tags[TagPositionOf(block)];
}

void TagCache::Insert(TagBlock tag_block) {
  const std::uint64_t index = tag_block.index;
  std::uint64_t& newest = newest_versions_[index];
  newest = std::max(newest, tag_block.version);
  const auto found = cached_.find(index);
  if (found != cached_.end()) {
    found->second.tags = std::move(tag_block);
    return;
  }
  usage_.push_front(index);
  cached_[index] = {std::move(tag_block), usage_.begin()};
  Evict();
}

bool TagCache::InsertFromSlots(std::uint64_t index, std::string_view slots, std::uint64_t export_id) {
  auto first = DecodeTagBlock(slots.substr(0, kBlockBytes), export_id, index);
  auto second = DecodeTagBlock(slots.substr(kBlockBytes), export_id, index);
  const bool is_second_newer = !first || (second && second->version > first->version);
  auto& newest = is_second_newer ? second : first;
  const bool valid = newest && !IsStale(*newest);
  if (first && second && valid) {
    unreadable_.erase(index);
  } else if (!IsConfirmedCorruption(index, slots)) {
    return false;
  }
  if (valid) {
    Insert(std::move(*newest));
  } else {
    InsertUnknown(index);
  }
  return true;
}

// Counts equal readings of a tag block with an unreadable slot. That slot may be the newer one: until its
// corruption is confirmed, the tags of the other slot must not be used, since they may be outdated.
bool TagCache::IsConfirmedCorruption(std::uint64_t index, std::string_view slots) {
  UnreadableSlots& unreadable = unreadable_[index];
  const std::uint32_t sum = DataSum(slots);
  unreadable.readings = unreadable.sum == sum ? unreadable.readings + 1 : 1;
  unreadable.sum = sum;
  if (unreadable.readings < kConfirmingReadings) {
    return false;
  }
  unreadable_.erase(index);
  return true;
}

bool TagCache::IsStale(const TagBlock& tag_block) const {
  const auto newest = newest_versions_.find(tag_block.index);
  return newest != newest_versions_.end() && tag_block.version < newest->second;
}

void TagCache::InsertUnknown(std::uint64_t index) {
  TagBlock unknown;
  unknown.index = index;
  const auto newest = newest_versions_.find(index);
  unknown.version = newest == newest_versions_.end() ? 1 : newest->second;
  for (Tag& tag : unknown.tags) {
    tag.generation = kUnknownGeneration;
  }
  Insert(std::move(unknown));
}

void TagCache::Evict() {
  for (auto at = usage_.end(); cached_.size() > max_tag_blocks_ && at != usage_.begin();) {
    --at;
    if (pinned_.contains(*at) || at == usage_.begin()) {
      continue;
    }
    cached_.erase(*at);
    at = usage_.erase(at);
  }
}

std::optional<std::uint64_t> TagCache::FindOwner(std::uint32_t data_sum, std::uint64_t block,
                                                 std::uint64_t export_id) const {
  for (const auto& [index, cached] : cached_) {
    for (std::size_t i = 0; i < kTagsPerBlock; ++i) {
      const Tag& tag = cached.tags.tags[i];
      const std::uint64_t candidate = index * kTagsPerBlock + i;
      if (candidate == block || IsHole(tag) || tag.generation == kUnknownGeneration) {
        continue;
      }
      if (TagSum(data_sum, export_id, candidate, tag.generation) == tag.sum) {
        return candidate;
      }
    }
  }
  return std::nullopt;
}

}  // namespace walnutspur::integrity
