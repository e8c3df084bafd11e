#include "integrity/layout.h"

#include <algorithm>
#include <array>
#include <utility>

#include "integrity/crc32c.h"
#include "integrity/little_endian.h"

namespace walnutspur::integrity {
namespace {

// First bytes of each stored structure.
constexpr std::string_view kSuperblockMagic = "WSPRSUP1";
constexpr std::string_view kTagMagic = "WSPRTAG1";
constexpr std::string_view kRecordMagic = "WSPRREC1";
// Bytes of a CRC32C.
constexpr std::size_t kChecksumBytes = 4;

// Offsets, in bytes, of the fields that are read or written outside the field lists below. Each structure
// begins with its magic, of 8 bytes.
constexpr std::size_t kSuperblockVersionOffset = 8;
constexpr std::size_t kSuperblockBlockBytesOffset = 12;
constexpr std::size_t kSuperblockChecksumOffset = kSectorBytes - kChecksumBytes;  // of all bytes before it
constexpr std::size_t kExportIdOffset = 8;  // in tag blocks and in journal records
constexpr std::size_t kTagIndexOffset = 16;
constexpr std::size_t kTagVersionOffset = 24;
constexpr std::size_t kTagChecksumOffset = 32;
constexpr std::size_t kRecordBlockCountOffset = 52;
constexpr std::size_t kRecordHasDataOffset = 54;
constexpr std::size_t kRecordChecksumOffset = 56;
constexpr std::size_t kRecordBlocksOffset = 72;  // where the list of blocks begins
constexpr std::size_t kRecordBytesPerBlock = 8;  // of the list of blocks

// Writes fields into a buffer, at offsets in bytes.
class FieldWriter {
 public:
  explicit FieldWriter(std::string* out) : out_(*out) {}
  template <typename T>
  void operator()(std::size_t offset, T value) const {
    StoreLittleEndian(value, out_.data() + offset);
  }

 private:
  std::string& out_;
};

// Reads fields from a buffer, at offsets in bytes; the buffer must be long enough.
class FieldReader {
 public:
  explicit FieldReader(std::string_view bytes) : bytes_(bytes) {}
  template <typename T>
  void operator()(std::size_t offset, T& field) const {
    field = Get<T>(offset);
  }
  template <typename T>
  T Get(std::size_t offset) const {
    return LoadLittleEndian<T>(bytes_.substr(offset, sizeof(T)));
  }

 private:
  std::string_view bytes_;
};

// The field lists of the stored structures: each calls `visit` with the offset of every field and the field
// itself. Encoding and decoding use the same list, so that they cannot differ.

template <typename SuperblockType, typename Visitor>
void VisitSuperblock(SuperblockType& superblock, const Visitor& visit) {
  visit(kSuperblockVersionOffset, superblock.version);
  visit(16, superblock.export_id);
  visit(24, superblock.geometry.blocks);
  visit(32, superblock.geometry.journal_size);
  visit(40, superblock.geometry.superblock_offset);
  visit(48, superblock.epoch);
  visit(56, superblock.sequence);
  visit(64, superblock.tail_offset);
  visit(72, superblock.tail_sequence);
  visit(80, superblock.tail_epoch);
}

template <typename TagBlockType, typename Visitor>
void VisitTagBlock(TagBlockType& tag_block, const Visitor& visit) {
  visit(kTagIndexOffset, tag_block.index);
  visit(kTagVersionOffset, tag_block.version);
  std::size_t offset = kTagHeaderBytes;
  for (auto& tag : tag_block.tags) {
    visit(offset, tag.generation);
    visit(offset + 4, tag.sum);
    visit(offset + 8, tag.previous_sum);
    offset += kTagBytes;
  }
}

// All fields but `has_data` and the number of `blocks`, which must be set before the blocks are visited.
template <typename RecordHeaderType, typename Visitor>
void VisitRecordHeader(RecordHeaderType& header, const Visitor& visit) {
  visit(16, header.sequence);
  visit(24, header.epoch);
  visit(32, header.durable_sequence);
  visit(40, header.first_block);
  visit(48, header.size);
  visit(60, header.previous_block_count);
  visit(64, header.previous_first_block);
  std::size_t offset = kRecordBlocksOffset;
  for (auto& block : header.blocks) {
    visit(offset, block.generation);
    visit(offset + 4, block.sum);
    offset += kRecordBytesPerBlock;
  }
}

// Returns a buffer of zeros that begins with the magic of its structure.
std::string BufferWithMagic(std::size_t size, std::string_view magic) {
  std::string out(size, '\0');
  out.replace(0, magic.size(), magic);
  return out;
}

bool IsAllZero(std::string_view bytes) {
  return std::all_of(bytes.begin(), bytes.end(), [](char byte) { return byte == 0; });
}

// Covers the tag block except its checksum and the spare bytes of its header.
std::uint32_t TagBlockChecksum(std::string_view bytes) {
  return Crc32c(bytes.substr(kTagHeaderBytes), Crc32c(bytes.substr(0, kTagChecksumOffset)));
}

// Covers the record's header except its checksum.
std::uint32_t RecordChecksum(std::string_view header) {
  return Crc32c(header.substr(kRecordChecksumOffset + kChecksumBytes),
                Crc32c(header.substr(0, kRecordChecksumOffset)));
}

// Returns the size of a record's header in bytes, a multiple of the sector size.
std::size_t RecordHeaderSize(std::size_t blocks) {
  const std::size_t bytes = kRecordBlocksOffset + kRecordBytesPerBlock * blocks;
  return (bytes + kSectorBytes - 1) / kSectorBytes * kSectorBytes;
}

std::uint64_t TagBlocksFor(std::uint64_t blocks) { return (blocks + kTagsPerBlock - 1) / kTagsPerBlock; }

// Returns the maximum number of data blocks that fit into `available` blocks together with the two slots of
// each of their tag blocks.
std::uint64_t MaxDataBlocks(std::uint64_t available) {
  std::uint64_t blocks = available * kTagsPerBlock / (kTagsPerBlock + 2);
  while (blocks + 1 + 2 * TagBlocksFor(blocks + 1) <= available) {
    ++blocks;
  }
  while (blocks > 0 && blocks + 2 * TagBlocksFor(blocks) > available) {
    --blocks;
  }
  return blocks;
}

DecodedSuperblock Rejected(SuperblockState state, std::string error) {
  DecodedSuperblock decoded;
  decoded.state = state;
  decoded.error = std::move(error);
  return decoded;
}

}  // namespace

std::optional<Geometry> FitGeometry(std::uint64_t size, std::uint64_t journal) {
  journal = std::max(kMinJournalBytes, journal) / kBlockBytes * kBlockBytes;
  const std::uint64_t all_blocks = size / kBlockBytes;
  const std::uint64_t fixed_blocks = journal / kBlockBytes + kSuperblockCopies;
  if (all_blocks <= fixed_blocks) {
    return std::nullopt;
  }
  Geometry geometry;
  geometry.blocks = MaxDataBlocks(all_blocks - fixed_blocks);
  if (geometry.blocks == 0) {
    return std::nullopt;
  }
  geometry.tag_blocks = TagBlocksFor(geometry.blocks);
  geometry.tags_offset = geometry.blocks * kBlockBytes;
  geometry.journal_offset = geometry.tags_offset + 2 * geometry.tag_blocks * kBlockBytes;
  geometry.journal_size = journal;
  geometry.superblock_offset = (all_blocks - kSuperblockCopies) * kBlockBytes;
  return geometry;
}

// ---- superblock ----

// Failure: a crash while the superblock is written. All fields lie in one sector, which the target writes
// atomically, so that this copy is either the old or the new one; the other copy is not touched.
std::string Encode(const Superblock& superblock) {
  std::string out = BufferWithMagic(kBlockBytes, kSuperblockMagic);
  const FieldWriter write(&out);
  VisitSuperblock(superblock, write);
  write(kSuperblockBlockBytesOffset, kBlockBytes);
  write(kSuperblockChecksumOffset, Crc32c(std::string_view{out}.substr(0, kSuperblockChecksumOffset)));
  return out;
}

namespace {

// Decodes bytes that have a superblock's magic, checksum and a supported version. Returns nullopt if the
// stored geometry is not that of an export of this size.
//
// Failure: the export was resized or its superblock copied from another one, so that the stored offsets point
// to other data. The geometry is computed from the size of the export and only compared with the stored one,
// so that stored offsets alone never direct a read or a write.
std::optional<Superblock> DecodeFields(std::string_view bytes, std::uint64_t size) {
  const FieldReader read(bytes);
  Superblock superblock;
  VisitSuperblock(superblock, read);
  const Geometry stored = superblock.geometry;
  const auto geometry = FitGeometry(size, stored.journal_size);
  const bool matches = geometry && read.Get<std::uint32_t>(kSuperblockBlockBytesOffset) == kBlockBytes &&
                       geometry->blocks == stored.blocks &&
                       geometry->superblock_offset == stored.superblock_offset &&
                       geometry->journal_size == stored.journal_size;
  const bool has_valid_tail = superblock.tail_offset < stored.journal_size &&
                              superblock.tail_offset % kSectorBytes == 0 && superblock.tail_sequence != 0;
  if (!matches || !has_valid_tail) {
    return std::nullopt;
  }
  superblock.geometry = *geometry;
  return superblock;
}

}  // namespace

DecodedSuperblock DecodeSuperblock(std::string_view bytes, std::uint64_t size) {
  if (bytes.size() < kSectorBytes || IsAllZero(bytes.substr(0, kSectorBytes))) {
    return Rejected(SuperblockState::kMissing, "no superblock found: the export is not formatted");
  }
  if (bytes.substr(0, kSuperblockMagic.size()) != kSuperblockMagic) {
    return Rejected(SuperblockState::kForeign, "no superblock found: other data is stored at its position");
  }
  const FieldReader read(bytes);
  if (read.Get<std::uint32_t>(kSuperblockChecksumOffset) !=
      Crc32c(bytes.substr(0, kSuperblockChecksumOffset))) {
    return Rejected(SuperblockState::kCorrupt, "the superblock is corrupt: its checksum does not match");
  }
  const auto version = read.Get<std::uint16_t>(kSuperblockVersionOffset);
  if (version > kLayoutVersion) {
    return Rejected(SuperblockState::kNewer, "the superblock has format version " + std::to_string(version) +
                                                 "; this program supports versions up to " +
                                                 std::to_string(kLayoutVersion));
  }
  const auto superblock = DecodeFields(bytes, size);
  if (!superblock) {
    return Rejected(SuperblockState::kForeign,
                    "the superblock describes another layout than that of an export of " +
                        std::to_string(size) +
                        " bytes: the export was resized, or its superblock was copied from another export");
  }
  return {SuperblockState::kValid, *superblock, ""};
}

DecodedSuperblock ChooseSuperblock(const DecodedSuperblock& a, const DecodedSuperblock& b) {
  // A newer program has written the export, and this copy may be the current one whatever the other contains:
  // the export is rejected and not changed.
  if (a.state == SuperblockState::kNewer) {
    return a;
  }
  if (b.state == SuperblockState::kNewer) {
    return b;
  }
  const bool is_a_valid = a.state == SuperblockState::kValid;
  const bool is_b_valid = b.state == SuperblockState::kValid;
  if (is_a_valid && is_b_valid) {
    return a.superblock.sequence >= b.superblock.sequence ? a : b;
  }
  if (is_a_valid) {
    return a;
  }
  if (is_b_valid) {
    return b;
  }
  return a.state == SuperblockState::kMissing ? b : a;
}

// ---- tags ----

std::uint32_t DataSum(std::string_view block) { return Crc32c(block); }

std::uint32_t TagSum(std::uint32_t data_sum, std::uint64_t export_id, std::uint64_t block,
                     std::uint32_t generation) {
  std::array<char, 20> salt{};
  StoreLittleEndian(export_id, salt.data());
  StoreLittleEndian(block, salt.data() + 8);
  StoreLittleEndian(generation, salt.data() + 16);
  return Crc32c({salt.data(), salt.size()}, data_sum);
}

// Failure: a tag block is eight sectors, so a crash may leave a torn one, old tags beside new ones. The
// checksum covers all tags, so that a torn tag block does not decode and the other slot is used.
std::string Encode(const TagBlock& tag_block, std::uint64_t export_id) {
  std::string out = BufferWithMagic(kBlockBytes, kTagMagic);
  const FieldWriter write(&out);
  write(kExportIdOffset, export_id);
  VisitTagBlock(tag_block, write);
  write(kTagChecksumOffset, TagBlockChecksum(out));
  return out;
}

std::optional<TagBlock> DecodeTagBlock(std::string_view bytes, std::uint64_t export_id, std::uint64_t index) {
  TagBlock tag_block;
  tag_block.index = index;
  if (bytes.size() < kBlockBytes) {
    return std::nullopt;
  }
  bytes = bytes.substr(0, kBlockBytes);
  if (IsAllZero(bytes)) {
    return tag_block;
  }
  const FieldReader read(bytes);
  if (bytes.substr(0, kTagMagic.size()) != kTagMagic ||
      read.Get<std::uint64_t>(kExportIdOffset) != export_id ||
      read.Get<std::uint64_t>(kTagIndexOffset) != index ||
      read.Get<std::uint32_t>(kTagChecksumOffset) != TagBlockChecksum(bytes)) {
    return std::nullopt;
  }
  VisitTagBlock(tag_block, read);
  return tag_block;
}

// ---- journal records ----

std::uint32_t RecordSize(std::size_t blocks, bool has_data) {
  return static_cast<std::uint32_t>(RecordHeaderSize(blocks) + (has_data ? blocks * kBlockBytes : 0));
}

std::string Encode(const RecordHeader& header, std::string_view data, std::uint64_t export_id) {
  std::string out = BufferWithMagic(RecordHeaderSize(header.blocks.size()), kRecordMagic);
  const FieldWriter write(&out);
  write(kExportIdOffset, export_id);
  VisitRecordHeader(header, write);
  write(kRecordBlockCountOffset, static_cast<std::uint16_t>(header.blocks.size()));
  write(kRecordHasDataOffset, static_cast<std::uint16_t>(header.has_data));
  write(kRecordChecksumOffset, RecordChecksum(out));
  out.append(data);
  return out;
}

namespace {

// Decodes the header that `read` points to, which must be valid.
RecordHeader DecodeHeaderFields(const FieldReader& read) {
  RecordHeader header;
  header.blocks.resize(read.Get<std::uint16_t>(kRecordBlockCountOffset));
  header.has_data = read.Get<std::uint16_t>(kRecordHasDataOffset) != 0;
  VisitRecordHeader(header, read);
  return header;
}

}  // namespace

std::optional<RecordHeader> DecodeRecordHeader(std::string_view bytes, std::uint64_t export_id) {
  const FieldReader read(bytes);
  if (bytes.size() < kSectorBytes || bytes.substr(0, kRecordMagic.size()) != kRecordMagic ||
      read.Get<std::uint64_t>(kExportIdOffset) != export_id) {
    return std::nullopt;
  }
  const std::size_t count = read.Get<std::uint16_t>(kRecordBlockCountOffset);
  const std::size_t header_size = RecordHeaderSize(count);
  if (count > kMaxRecordBlocks || bytes.size() < header_size ||
      read.Get<std::uint32_t>(kRecordChecksumOffset) != RecordChecksum(bytes.substr(0, header_size))) {
    return std::nullopt;
  }
  RecordHeader header = DecodeHeaderFields(read);
  // Records without blocks may have any size; the size of the others follows from their blocks.
  const bool has_valid_size = count == 0 ? header.size >= kSectorBytes && header.size % kSectorBytes == 0
                                         : header.size == RecordSize(count, header.has_data);
  if (!has_valid_size) {
    return std::nullopt;
  }
  return header;
}

std::string_view RecordBlockData(const RecordHeader& header, std::string_view bytes, std::size_t index) {
  return bytes.substr(RecordHeaderSize(header.blocks.size()) + index * kBlockBytes, kBlockBytes);
}

bool RecordDataMatches(const RecordHeader& header, std::string_view bytes, std::uint64_t export_id) {
  if (header.blocks.empty()) {
    return true;
  }
  if (bytes.size() < header.size) {
    return false;
  }
  if (!header.has_data) {
    return true;
  }
  for (std::size_t i = 0; i < header.blocks.size(); ++i) {
    const RecordBlock& block = header.blocks[i];
    const std::uint32_t data_sum = DataSum(RecordBlockData(header, bytes, i));
    if (TagSum(data_sum, export_id, header.first_block + i, block.generation) != block.sum) {
      return false;
    }
  }
  return true;
}

}  // namespace walnutspur::integrity
