// What a checksummed export looks like at its box: blocks of data first, and behind them a reserved region.
//
//   | data: N blocks | tags: 2 slots a tag block | journal: a ring of 512-byte sectors | superblock A | B |
//
// A tag is the CRC32C of a block's data, the export's id, the block's number and its generation, so that
// flipped bits show, and so do blocks that were lost, put elsewhere or are of another time.
// docs/design/integrity.md weighs this against interleaved tags.
//
// Only bytes and numbers: no I/O. All integers are little-endian.
#ifndef WALNUTSPUR_INTEGRITY_LAYOUT_H_
#define WALNUTSPUR_INTEGRITY_LAYOUT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace walnutspur::integrity {

constexpr std::uint32_t kBlock = 4096;   // bytes that one tag covers
constexpr std::uint32_t kSector = 512;   // bytes that a box writes whole or not at all
constexpr std::uint16_t kVersion = 1;    // of the layout; a newer one is refused untouched
constexpr std::uint32_t kTagBytes = 12;  // generation, tag, the tag before it
constexpr std::uint32_t kTagHead = 64;
constexpr std::uint32_t kTagsPerBlock = (kBlock - kTagHead) / kTagBytes;  // 336
constexpr std::uint64_t kLeastJournal = 64 << 10;  // bytes; a record takes half of it at the most
constexpr std::uint64_t kUsualJournal = 4 << 20;
constexpr std::uint32_t kMostRecordBlocks = 320;  // a command of 1 MiB and its ragged ends

// Where things lie; bytes from the start of the export at the box.
struct Geometry {
  std::uint64_t blocks = 0;      // of data
  std::uint64_t tag_blocks = 0;  // each has two slots, side by side
  std::uint64_t tags_at = 0, journal_at = 0, journal_size = 0, super_at = 0;

  std::uint64_t data_size() const { return blocks * kBlock; }  // as clients see it
  std::uint64_t SlotAt(std::uint64_t tag_block, int slot) const {
    return tags_at + (tag_block * 2 + static_cast<std::uint64_t>(slot)) * kBlock;
  }
};

// The largest data region that fits into `size` bytes with a journal of `journal` bytes; nothing if not even
// one block does.
std::optional<Geometry> Fit(std::uint64_t size, std::uint64_t journal);

struct Superblock {
  std::uint16_t version = kVersion;
  std::uint64_t export_id = 0;  // drawn at format; in every tag
  Geometry geometry;
  std::uint64_t epoch = 0;     // how often a writer has taken the export; the one that raised it last owns it
  std::uint64_t sequence = 0;  // of this superblock: of two copies the higher one holds
  std::uint64_t tail_at = 0;   // in the journal: where replay begins
  std::uint64_t tail_sequence = 1;  // and the record that stands there, if any does
  // Records from there on are of this epoch or a later one. Guards against a record that an earlier replay
  // gave up and that happens to stand, with the very number that is due, where the journal goes on.
  std::uint64_t tail_epoch = 0;
};

enum class SuperState { kWhole, kNone, kDamaged, kNewer, kForeign };
struct SuperRead {
  SuperState state = SuperState::kNone;
  Superblock super;
  std::string what;  // one line, if it is not whole
};
std::string Encode(const Superblock& super);  // kBlock bytes
// `size` is that of the export: a superblock that speaks of more than there is does not hold.
SuperRead DecodeSuper(std::string_view bytes, std::uint64_t size);
// Of two copies the one that holds. A damaged copy beside a whole one is an update that was cut off.
SuperRead ChooseSuper(const SuperRead& a, const SuperRead& b);

struct Tag {
  std::uint32_t generation = 0;  // 0: never written, reads as zeros
  std::uint32_t sum = 0;
  std::uint32_t previous = 0;  // the sum of the generation before: data that fits it is old, not random
  bool operator==(const Tag&) const = default;
};
constexpr std::uint32_t kHole = 1u << 31;  // in a generation: trimmed, reads as zeros
constexpr std::uint32_t kUnknown =
    kHole - 1;  // a generation: the tag is lost, and what the block holds cannot be told
inline std::uint32_t Next(std::uint32_t generation) {
  const std::uint32_t plain = generation & ~kHole;
  return plain >= kUnknown - 1 ? 1 : plain + 1;
}
inline bool IsHole(const Tag& tag) { return tag.generation == 0 || (tag.generation & kHole) != 0; }

// The sum of a block's data, from which the tag of any block and generation follows. So what was meant for
// another block can be told from what is damaged without keeping data.
std::uint32_t DataSum(std::string_view block);
std::uint32_t TagSum(std::uint32_t data_sum, std::uint64_t export_id, std::uint64_t block,
                     std::uint32_t generation);

struct TagBlock {
  std::uint64_t index = 0;
  std::uint64_t version = 0;  // raised with each write; of two slots the higher one holds
  std::vector<Tag> tags = std::vector<Tag>(kTagsPerBlock);
};
std::string Encode(const TagBlock& block, std::uint64_t export_id);
// Nothing if it is damaged, of another export or of another place. All zeros is a tag block never written.
std::optional<TagBlock> DecodeTags(std::string_view bytes, std::uint64_t export_id, std::uint64_t index);

// A record of the journal: the new content of adjoining blocks, whole or not at all.
struct RecordBlock {
  std::uint32_t generation = 0, sum = 0;
};
struct RecordHead {
  std::uint64_t sequence = 0;  // 1, 2, 3, ... over the life of the export
  std::uint64_t epoch = 0;
  std::uint64_t durable = 0;  // a flush had covered all records up to this one when this one was written
  std::uint64_t first = 0;    // block; of a void record 0
  std::uint32_t size = 0;     // bytes of the whole record
  bool has_data = true;       // false: the blocks become holes, or it only fills the ring's end
  std::uint64_t before_first =
      0;  // what the record before this one changes: told twice, so that damage to its
  std::uint16_t before_count = 0;   // head leaves the blocks known that have lost their newest content
  std::vector<RecordBlock> blocks;  // empty: it only fills
};
std::uint32_t RecordSize(std::size_t blocks, bool has_data);
// `data` has a block's bytes for each of the blocks, or none at all.
std::string Encode(const RecordHead& head, std::string_view data, std::uint64_t export_id);
// The head of a record, if `bytes` begins with a whole one of this export. Its data is another matter.
std::optional<RecordHead> DecodeHead(std::string_view bytes, std::uint64_t export_id);
// Whether the data of a record is what its head says; `bytes` is the whole record.
bool DataFits(const RecordHead& head, std::string_view bytes, std::uint64_t export_id);
std::string_view DataOf(const RecordHead& head, std::string_view bytes, std::size_t index);

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_LAYOUT_H_
