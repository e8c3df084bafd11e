// Encodes and decodes the stored format of a checksummed export: blocks of data, followed by a reserved
// region.
//
//   | data: N blocks | tags: 2 slots a tag block | journal: a ring of 512-byte sectors | superblock A | B |
//
// A tag is the CRC32C of a block's data, the export's id, the block's number and its generation, so that it
// detects flipped bits as well as lost, misdirected and stale writes. docs/design/integrity.md compares this
// layout with its alternatives.
//
// No I/O, no state, safe on any thread. Decoding never throws: for invalid bytes it returns nullopt, or a
// state other than kValid. All integers are little-endian.
#ifndef WALNUTSPUR_INTEGRITY_LAYOUT_H_
#define WALNUTSPUR_INTEGRITY_LAYOUT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace walnutspur::integrity {

// Bytes of data that one tag covers.
constexpr std::uint32_t kBlockBytes = 4096;
// Bytes that a target writes atomically.
constexpr std::uint32_t kSectorBytes = 512;
// Version of the stored format. Exports of a newer one are rejected and not changed.
constexpr std::uint16_t kLayoutVersion = 1;
// Bytes of a tag: generation, sum and previous sum.
constexpr std::uint32_t kTagBytes = 12;
// Bytes of a tag block's header.
constexpr std::uint32_t kTagHeaderBytes = 64;
// Number of tags in a tag block: 336.
constexpr std::uint32_t kTagsPerBlock = (kBlockBytes - kTagHeaderBytes) / kTagBytes;
// Bytes of the two slots of a tag block.
constexpr std::uint64_t kTagSlotsBytes = std::uint64_t{2} * kBlockBytes;
// Copies of the superblock, kBlockBytes each, written in turn.
constexpr std::uint64_t kSuperblockCopies = 2;
// Minimum size of the journal in bytes. A record takes at most half of the journal.
constexpr std::uint64_t kMinJournalBytes = 64 << 10;
// Bytes of the journal unless the configuration sets another size.
constexpr std::uint64_t kDefaultJournalBytes = 4 << 20;
// Maximum number of blocks of one journal record: those of a command of 1 MiB and the blocks that it covers
// partially.
constexpr std::uint32_t kMaxRecordBlocks = 320;

// The positions of the regions, in bytes from the start of the export at the target.
struct Geometry {
  std::uint64_t blocks = 0;      // of data
  std::uint64_t tag_blocks = 0;  // each has two adjoining slots
  std::uint64_t tags_offset = 0;
  std::uint64_t journal_offset = 0;
  std::uint64_t journal_size = 0;
  std::uint64_t superblock_offset = 0;

  std::uint64_t data_size() const { return blocks * kBlockBytes; }  // bytes, as clients see it
  std::uint64_t SlotOffset(std::uint64_t tag_block, int slot) const {
    return tags_offset + (tag_block * 2 + static_cast<std::uint64_t>(slot)) * kBlockBytes;
  }
};

// Returns the geometry with the most data blocks that fits into `size` bytes with a journal of `journal`
// bytes, or nullopt if not even one block fits.
std::optional<Geometry> FitGeometry(std::uint64_t size, std::uint64_t journal);

struct Superblock {
  std::uint16_t version = kLayoutVersion;
  std::uint64_t export_id = 0;  // random, chosen at format; part of every tag
  Geometry geometry;
  std::uint64_t epoch = 0;          // number of attachments; the latest one owns the export
  std::uint64_t sequence = 0;       // of this superblock; the copy with the higher number is current
  std::uint64_t tail_offset = 0;    // where a replay starts, bytes from the start of the journal
  std::uint64_t tail_sequence = 1;  // of the record at tail_offset, if there is one
  // The lowest epoch of the records from the tail on.
  //
  // Failure: a replay discards an incomplete record at the end of the journal; the next process reuses its
  // sequence number, and its bytes may still be in the ring. A later replay would mistake them for the record
  // with that number, and old content would replace new. The discarded record is rejected because it has an
  // earlier epoch than the tail.
  std::uint64_t tail_epoch = 0;
};

enum class SuperblockState { kValid, kMissing, kCorrupt, kNewer, kForeign };

struct DecodedSuperblock {
  SuperblockState state = SuperblockState::kMissing;
  Superblock superblock;  // if it is valid
  std::string error;      // one line otherwise
};

// Returns kBlockBytes bytes.
std::string Encode(const Superblock& superblock);
// Decodes a superblock of an export of `size` bytes. A superblock whose geometry is not that of an export of
// this size is foreign.
DecodedSuperblock DecodeSuperblock(std::string_view bytes, std::uint64_t size);
// Returns the current one of two copies. A corrupt copy beside a valid one is an interrupted update.
DecodedSuperblock ChooseSuperblock(const DecodedSuperblock& a, const DecodedSuperblock& b);

// The checksum of one block.
struct Tag {
  std::uint32_t generation = 0;    // 0: never written, reads as zeros
  std::uint32_t sum = 0;           // TagSum of the content
  std::uint32_t previous_sum = 0;  // of the generation before, to recognize outdated content; 0: unknown
  bool operator==(const Tag&) const = default;
};

// A flag in a generation: the block was trimmed and reads as zeros.
constexpr std::uint32_t kHoleFlag = 1u << 31;
// The generation of a block whose tag is unreadable, so that its content cannot be verified.
constexpr std::uint32_t kUnknownGeneration = kHoleFlag - 1;

// Returns the generation of the next content of a block; it wraps around to 1.
inline std::uint32_t NextGeneration(std::uint32_t generation) {
  const std::uint32_t plain = generation & ~kHoleFlag;
  return plain >= kUnknownGeneration - 1 ? 1 : plain + 1;
}
inline bool IsHole(const Tag& tag) { return tag.generation == 0 || (tag.generation & kHoleFlag) != 0; }

// Returns the checksum of a block's data, from which TagSum derives the sum for any block and generation.
// This allows recognizing content that belongs to another block without its data.
std::uint32_t DataSum(std::string_view block);
std::uint32_t TagSum(std::uint32_t data_sum, std::uint64_t export_id, std::uint64_t block,
                     std::uint32_t generation);

// The tags of adjoining blocks.
struct TagBlock {
  std::uint64_t index = 0;
  std::uint64_t version = 0;  // incremented with each write; of two slots the higher one is current
  std::vector<Tag> tags = std::vector<Tag>(kTagsPerBlock);
};
std::string Encode(const TagBlock& tag_block, std::uint64_t export_id);
// Returns nullopt if the tag block is corrupt, of another export or has another index. Zeros decode to a tag
// block that was never written.
std::optional<TagBlock> DecodeTagBlock(std::string_view bytes, std::uint64_t export_id, std::uint64_t index);

// A journal record's entry for one block.
struct RecordBlock {
  std::uint32_t generation = 0;
  std::uint32_t sum = 0;  // TagSum of the new content
};

// The header of a journal record, which has the new content of adjoining blocks. Its data follows it.
struct RecordHeader {
  std::uint64_t sequence = 0;  // 1, 2, 3, ... since the export was formatted
  std::uint64_t epoch = 0;
  // All records up to this sequence number were durable when this record was written. If a replay finds one
  // of them incomplete, that record is corrupt and was not cut off by a crash.
  std::uint64_t durable_sequence = 0;
  std::uint64_t first_block = 0;
  std::uint32_t size = 0;  // bytes of the record, header and data
  bool has_data = true;    // false: the blocks become holes
  // The blocks of the record before this one, stored twice so that they are known even if that record's
  // header is corrupt.
  std::uint64_t previous_first_block = 0;
  std::uint16_t previous_block_count = 0;
  std::vector<RecordBlock> blocks;  // empty: a filler or a void record
};

// Returns the size of a record in bytes.
std::uint32_t RecordSize(std::size_t blocks, bool has_data);
// Returns the bytes of a record. `data` has the bytes of all of its blocks, or is empty.
std::string Encode(const RecordHeader& header, std::string_view data, std::uint64_t export_id);
// Returns the header at the start of `bytes`, or nullopt if there is no valid header of this export. Does not
// verify the record's data.
std::optional<RecordHeader> DecodeRecordHeader(std::string_view bytes, std::uint64_t export_id);
// Returns whether the data of a record matches its header; `bytes` must begin with the header.
bool RecordDataMatches(const RecordHeader& header, std::string_view bytes, std::uint64_t export_id);
// Returns the data of one of the record's blocks.
std::string_view RecordBlockData(const RecordHeader& header, std::string_view bytes, std::size_t index);

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_LAYOUT_H_
