#include "integrity/block_verifier.h"

#include <optional>
#include <string>
#include <string_view>

namespace walnutspur::integrity {
namespace {

// Classifies content that does not match the block's tag.
CorruptBlock Classify(const VolumeContext& context, std::uint64_t block, std::string_view content) {
  const std::uint64_t export_id = context.superblock.export_id;
  const Tag& tag = context.tags.TagOf(block);
  CorruptBlock corrupt;
  corrupt.block = block;
  corrupt.data_sum = DataSum(content);
  const bool matches_previous = tag.previous_sum != 0 && TagSum(corrupt.data_sum, export_id, block,
                                                                tag.generation - 1) == tag.previous_sum;
  // Before the first write of a block its content is zeros.
  const bool precedes_first_write = tag.generation == 1 && content == ZeroBlock().bytes;
  if (matches_previous || precedes_first_write) {
    corrupt.mismatch = MismatchKind::kPreviousContent;
    return corrupt;
  }
  if (const auto owner = context.tags.FindOwner(corrupt.data_sum, block, export_id)) {
    corrupt.mismatch = MismatchKind::kOtherBlock;
    corrupt.owner_block = *owner;
  }
  return corrupt;
}

// Verifies a block whose content the command needs and whose tag is cached. Returns false if the block must
// be read again.
bool VerifyInPlace(const VolumeContext& context, PendingCommand* pending, std::uint64_t block,
                   std::vector<CorruptBlock>* corrupt) {
  const Tag& tag = context.tags.TagOf(block);
  if (tag.generation == kUnknownGeneration) {
    corrupt->push_back({block, MismatchKind::kTagsUnreadable, 0, 0});
    return true;
  }
  if (IsHole(tag)) {
    pending->block_content[block] = ZeroBlock();
    return true;
  }
  const auto content = pending->ContentOf(block);
  if (!content) {
    return false;
  }
  if (TagSum(DataSum(*content), context.superblock.export_id, block, tag.generation) == tag.sum) {
    return true;
  }
  if (pending->in_place_revision != context.in_place_revision) {
    return false;
  }
  corrupt->push_back(Classify(context, block, *content));
  return true;
}

// Verifies one block. Returns false if the block must be read again.
bool VerifyBlock(const VolumeContext& context, PendingCommand* pending, std::uint64_t block,
                 std::vector<CorruptBlock>* corrupt) {
  if (const BlockVersion* newest = context.overlay.Newest(block)) {
    pending->block_content[block] = newest->data ? newest->data : ZeroBlock();
    return true;
  }
  const bool is_needed = pending->NeedsContentOf(block);
  if (context.unrecoverable_blocks.contains(block)) {
    if (is_needed) {
      corrupt->push_back({block, MismatchKind::kRecordCorrupt, 0, 0});
    }
    return true;
  }
  // An unreadable tag is reported even if the content is not needed: a write needs the generation of each of
  // its blocks.
  if (pending->unreadable_tag_blocks.contains(TagBlockOf(block))) {
    corrupt->push_back({block, MismatchKind::kTagsUnreadable, 0, 0});
    return true;
  }
  return !is_needed || VerifyInPlace(context, pending, block, corrupt);
}

}  // namespace

const Slice& ZeroBlock() {
  static const Slice kZeros = Own(std::string(kBlockBytes, '\0'));
  return kZeros;
}

VerifiedBlocks VerifyBlocks(const VolumeContext& context, PendingCommand* pending) {
  VerifiedBlocks verified;
  for (std::uint64_t block = pending->range.first; block < pending->range.end(); ++block) {
    if (!VerifyBlock(context, pending, block, &verified.corrupt)) {
      verified.must_reload = true;
      return verified;
    }
  }
  return verified;
}

}  // namespace walnutspur::integrity
