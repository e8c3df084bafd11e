// Class TagCache caches the tag blocks of one volume, evicting the least recently used first. It also decides
// whether a tag block that was read is trusted, by the newest version seen of each and by slots that did not
// decode.
//
// Failure: a slot is corrupted in transit, or a read returns stale content. If the tags of the other, older
// slot were used then, good blocks would be reported as corrupt and the next checkpoint would write outdated
// tags. So a slot that does not decode must return the same bytes on several reads before it is considered
// corrupt on storage, and a tag block older than one seen before is not used.
//
// Owned by VolumeContext; used on the thread of the volume's owner.
#ifndef WALNUTSPUR_INTEGRITY_TAG_CACHE_H_
#define WALNUTSPUR_INTEGRITY_TAG_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>

#include "integrity/layout.h"

namespace walnutspur::integrity {

// Return the index of the tag block that contains a data block's tag, and the tag's position in it.
inline std::uint64_t TagBlockOf(std::uint64_t block) { return block / kTagsPerBlock; }
inline std::size_t TagPositionOf(std::uint64_t block) { return block % kTagsPerBlock; }

class TagCache {
 public:
  // `max_tag_blocks` bounds the cache; pinned tag blocks may exceed it.
  explicit TagCache(std::size_t max_tag_blocks) : max_tag_blocks_(max_tag_blocks) {}

  // Returns the tag block, which becomes the most recently used, or null if it is not cached.
  const TagBlock* Find(std::uint64_t index);
  // Returns the tag of a block in place; its tag block must be cached.
  const Tag& TagOf(std::uint64_t block) const;
  void Insert(TagBlock tag_block);

  // Decodes both slots of a tag block as they were read and caches the current one. Returns false if the
  // newer slot may have been corrupted in transit, so that both slots must be read again. If both slots are
  // confirmed as corrupt, the tag block is cached with all its tags unknown.
  bool InsertFromSlots(std::uint64_t index, std::string_view slots, std::uint64_t export_id);

  // Excludes a tag block from eviction.
  void Pin(std::uint64_t index) { pinned_.insert(index); }
  void UnpinAll() { pinned_.clear(); }
  // Evicts tag blocks until the cache is within its bound. Needed only after UnpinAll.
  void Evict();

  // Returns the block, other than `block`, whose cached tag matches the content with this sum, or nullopt.
  std::optional<std::uint64_t> FindOwner(std::uint32_t data_sum, std::uint64_t block,
                                         std::uint64_t export_id) const;
  std::size_t unreadable_slots() const { return unreadable_.size(); }

 private:
  struct CachedTagBlock {
    TagBlock tags;
    std::list<std::uint64_t>::iterator usage;
  };
  // Consecutive equal readings of a tag block with an unreadable slot.
  struct UnreadableSlots {
    std::uint32_t sum = 0;
    int readings = 0;
  };

  bool IsConfirmedCorruption(std::uint64_t index, std::string_view slots);
  bool IsStale(const TagBlock& tag_block) const;
  void InsertUnknown(std::uint64_t index);

  std::size_t max_tag_blocks_;
  std::unordered_map<std::uint64_t, CachedTagBlock> cached_;  // by index
  std::list<std::uint64_t> usage_;                            // most recently used first
  std::unordered_map<std::uint64_t, std::uint64_t> newest_versions_;
  std::map<std::uint64_t, UnreadableSlots> unreadable_;
  std::set<std::uint64_t> pinned_;
};

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_TAG_CACHE_H_
