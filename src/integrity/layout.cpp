#include "integrity/layout.h"

#include <algorithm>
#include <array>
#include <utility>

#include "integrity/crc32c.h"
#include "integrity/little_endian.h"

namespace walnutspur::integrity {
namespace {

constexpr std::string_view kSuperblockMagic = "WSPRSUP1";
constexpr std::string_view kTagMagic = "WSPRTAG1";
constexpr std::string_view kRecordMagic = "WSPRREC1";
constexpr std::size_t kChecksumBytes = 4;

// Offsets of the fields, in bytes. Each structure begins with its magic.
namespace superblock_field {
constexpr std::size_t kVersion = 8;
constexpr std::size_t kBlockBytes = 12;
constexpr std::size_t kExportId = 16;
constexpr std::size_t kBlocks = 24;
constexpr std::size_t kJournalSize = 32;
constexpr std::size_t kSuperblockOffset = 40;
constexpr std::size_t kEpoch = 48;
constexpr std::size_t kSequence = 56;
constexpr std::size_t kTailOffset = 64;
constexpr std::size_t kTailSequence = 72;
constexpr std::size_t kTailEpoch = 80;
constexpr std::size_t kChecksum = kSectorBytes - kChecksumBytes;  // of all bytes before it
}  // namespace superblock_field

namespace tag_field {
constexpr std::size_t kExportId = 8;
constexpr std::size_t kIndex = 16;
constexpr std::size_t kVersion = 24;
constexpr std::size_t kChecksum = 32;
}  // namespace tag_field

namespace record_field {
constexpr std::size_t kExportId = 8;
constexpr std::size_t kSequence = 16;
constexpr std::size_t kEpoch = 24;
constexpr std::size_t kDurableSequence = 32;
constexpr std::size_t kFirstBlock = 40;
constexpr std::size_t kSize = 48;
constexpr std::size_t kBlockCount = 52;
constexpr std::size_t kHasData = 54;
constexpr std::size_t kChecksum = 56;
constexpr std::size_t kPreviousBlockCount = 60;
constexpr std::size_t kPreviousFirstBlock = 64;
constexpr std::size_t kBlocks = 72;
constexpr std::size_t kBytesPerBlock = 8;  // generation and sum
}  // namespace record_field

template <typename T>
void Put(std::string* out, std::size_t offset, T value) {
  StoreLittleEndian(value, out->data() + offset);
}

template <typename T>
T Get(std::string_view in, std::size_t offset) {
  return LoadLittleEndian<T>(in.substr(offset, sizeof(T)));
}

bool IsAllZero(std::string_view bytes) {
  return std::all_of(bytes.begin(), bytes.end(), [](char byte) { return byte == 0; });
}

// Over the tag block but for its checksum and the spare bytes of its header.
std::uint32_t TagBlockChecksum(std::string_view bytes) {
  return Crc32c(bytes.substr(kTagHeaderBytes), Crc32c(bytes.substr(0, tag_field::kChecksum)));
}

// Over the record's header but for its checksum.
std::uint32_t RecordChecksum(std::string_view header) {
  return Crc32c(header.substr(record_field::kChecksum + kChecksumBytes),
                Crc32c(header.substr(0, record_field::kChecksum)));
}

// Bytes of a record's header: complete sectors.
std::size_t RecordHeaderSize(std::size_t blocks) {
  const std::size_t bytes = record_field::kBlocks + record_field::kBytesPerBlock * blocks;
  return (bytes + kSectorBytes - 1) / kSectorBytes * kSectorBytes;
}

std::uint64_t TagBlocksFor(std::uint64_t blocks) { return (blocks + kTagsPerBlock - 1) / kTagsPerBlock; }

// The most blocks for which the blocks and the two slots of each of their tag blocks fit into `available`.
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

// All fields lie in one sector, so that a superblock is written atomically.
std::string Encode(const Superblock& superblock) {
  namespace field = superblock_field;
  std::string out(kBlockBytes, '\0');
  out.replace(0, kSuperblockMagic.size(), kSuperblockMagic);
  Put(&out, field::kVersion, superblock.version);
  Put(&out, field::kBlockBytes, kBlockBytes);
  Put(&out, field::kExportId, superblock.export_id);
  Put(&out, field::kBlocks, superblock.geometry.blocks);
  Put(&out, field::kJournalSize, superblock.geometry.journal_size);
  Put(&out, field::kSuperblockOffset, superblock.geometry.superblock_offset);
  Put(&out, field::kEpoch, superblock.epoch);
  Put(&out, field::kSequence, superblock.sequence);
  Put(&out, field::kTailOffset, superblock.tail_offset);
  Put(&out, field::kTailSequence, superblock.tail_sequence);
  Put(&out, field::kTailEpoch, superblock.tail_epoch);
  Put(&out, field::kChecksum, Crc32c(std::string_view{out}.substr(0, field::kChecksum)));
  return out;
}

namespace {

// `bytes` have a superblock's magic, checksum and version. Nothing if its geometry is not the one that an
// export of this size has: nothing is read or written by stored offsets alone.
std::optional<Superblock> DecodeFields(std::string_view bytes, std::uint64_t size) {
  namespace field = superblock_field;
  Superblock superblock;
  superblock.version = Get<std::uint16_t>(bytes, field::kVersion);
  superblock.export_id = Get<std::uint64_t>(bytes, field::kExportId);
  superblock.epoch = Get<std::uint64_t>(bytes, field::kEpoch);
  superblock.sequence = Get<std::uint64_t>(bytes, field::kSequence);
  superblock.tail_offset = Get<std::uint64_t>(bytes, field::kTailOffset);
  superblock.tail_sequence = Get<std::uint64_t>(bytes, field::kTailSequence);
  superblock.tail_epoch = Get<std::uint64_t>(bytes, field::kTailEpoch);
  const auto journal = Get<std::uint64_t>(bytes, field::kJournalSize);
  const auto geometry = FitGeometry(size, journal);
  const bool matches = geometry && Get<std::uint32_t>(bytes, field::kBlockBytes) == kBlockBytes &&
                       geometry->blocks == Get<std::uint64_t>(bytes, field::kBlocks) &&
                       geometry->superblock_offset == Get<std::uint64_t>(bytes, field::kSuperblockOffset) &&
                       geometry->journal_size == journal;
  if (!matches || superblock.tail_offset >= journal || superblock.tail_offset % kSectorBytes != 0 ||
      superblock.tail_sequence == 0) {
    return std::nullopt;
  }
  superblock.geometry = *geometry;
  return superblock;
}

}  // namespace

DecodedSuperblock DecodeSuperblock(std::string_view bytes, std::uint64_t size) {
  namespace field = superblock_field;
  if (bytes.size() < kSectorBytes || IsAllZero(bytes.substr(0, kSectorBytes))) {
    return Rejected(SuperblockState::kMissing, "there is no superblock: the export is not formatted");
  }
  if (bytes.substr(0, kSuperblockMagic.size()) != kSuperblockMagic) {
    return Rejected(SuperblockState::kForeign, "where the superblock should be there is something else");
  }
  if (Get<std::uint32_t>(bytes, field::kChecksum) != Crc32c(bytes.substr(0, field::kChecksum))) {
    return Rejected(SuperblockState::kDamaged, "the superblock's checksum does not fit");
  }
  const auto version = Get<std::uint16_t>(bytes, field::kVersion);
  if (version > kLayoutVersion) {
    return Rejected(SuperblockState::kNewer, "the superblock is of version " + std::to_string(version) +
                                                 "; known are versions up to " +
                                                 std::to_string(kLayoutVersion));
  }
  const auto superblock = DecodeFields(bytes, size);
  if (!superblock) {
    return Rejected(SuperblockState::kForeign, "the superblock speaks of another layout than an export of " +
                                                   std::to_string(size) +
                                                   " bytes has: the export was resized or copied");
  }
  return {SuperblockState::kValid, *superblock, ""};
}

DecodedSuperblock ChooseSuperblock(const DecodedSuperblock& a, const DecodedSuperblock& b) {
  // A newer version may be the one that holds, whatever stands beside it: the export is not touched.
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

// The checksum covers all tags: a tag block is eight sectors and may be torn.
std::string Encode(const TagBlock& tag_block, std::uint64_t export_id) {
  std::string out(kBlockBytes, '\0');
  out.replace(0, kTagMagic.size(), kTagMagic);
  Put(&out, tag_field::kExportId, export_id);
  Put(&out, tag_field::kIndex, tag_block.index);
  Put(&out, tag_field::kVersion, tag_block.version);
  for (std::size_t i = 0; i < kTagsPerBlock; ++i) {
    const std::size_t at = kTagHeaderBytes + i * kTagBytes;
    Put(&out, at, tag_block.tags[i].generation);
    Put(&out, at + 4, tag_block.tags[i].sum);
    Put(&out, at + 8, tag_block.tags[i].previous_sum);
  }
  Put(&out, tag_field::kChecksum, TagBlockChecksum(out));
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
  if (bytes.substr(0, kTagMagic.size()) != kTagMagic ||
      Get<std::uint64_t>(bytes, tag_field::kExportId) != export_id ||
      Get<std::uint64_t>(bytes, tag_field::kIndex) != index ||
      Get<std::uint32_t>(bytes, tag_field::kChecksum) != TagBlockChecksum(bytes)) {
    return std::nullopt;
  }
  tag_block.version = Get<std::uint64_t>(bytes, tag_field::kVersion);
  for (std::size_t i = 0; i < kTagsPerBlock; ++i) {
    const std::size_t at = kTagHeaderBytes + i * kTagBytes;
    tag_block.tags[i] = {Get<std::uint32_t>(bytes, at), Get<std::uint32_t>(bytes, at + 4),
                         Get<std::uint32_t>(bytes, at + 8)};
  }
  return tag_block;
}

// ---- journal records ----

std::uint32_t RecordSize(std::size_t blocks, bool has_data) {
  return static_cast<std::uint32_t>(RecordHeaderSize(blocks) + (has_data ? blocks * kBlockBytes : 0));
}

std::string Encode(const RecordHeader& header, std::string_view data, std::uint64_t export_id) {
  namespace field = record_field;
  std::string out(RecordHeaderSize(header.blocks.size()), '\0');
  out.replace(0, kRecordMagic.size(), kRecordMagic);
  Put(&out, field::kExportId, export_id);
  Put(&out, field::kSequence, header.sequence);
  Put(&out, field::kEpoch, header.epoch);
  Put(&out, field::kDurableSequence, header.durable_sequence);
  Put(&out, field::kFirstBlock, header.first_block);
  Put(&out, field::kSize, header.size);
  Put(&out, field::kBlockCount, static_cast<std::uint16_t>(header.blocks.size()));
  Put(&out, field::kHasData, static_cast<std::uint16_t>(header.has_data));
  Put(&out, field::kPreviousBlockCount, header.previous_block_count);
  Put(&out, field::kPreviousFirstBlock, header.previous_first_block);
  for (std::size_t i = 0; i < header.blocks.size(); ++i) {
    const std::size_t at = field::kBlocks + i * field::kBytesPerBlock;
    Put(&out, at, header.blocks[i].generation);
    Put(&out, at + 4, header.blocks[i].sum);
  }
  Put(&out, field::kChecksum, RecordChecksum(out));
  out.append(data);
  return out;
}

namespace {

// `bytes` begin with a valid header.
RecordHeader DecodeHeaderFields(std::string_view bytes) {
  namespace field = record_field;
  RecordHeader header;
  header.sequence = Get<std::uint64_t>(bytes, field::kSequence);
  header.epoch = Get<std::uint64_t>(bytes, field::kEpoch);
  header.durable_sequence = Get<std::uint64_t>(bytes, field::kDurableSequence);
  header.first_block = Get<std::uint64_t>(bytes, field::kFirstBlock);
  header.size = Get<std::uint32_t>(bytes, field::kSize);
  header.has_data = Get<std::uint16_t>(bytes, field::kHasData) != 0;
  header.previous_block_count = Get<std::uint16_t>(bytes, field::kPreviousBlockCount);
  header.previous_first_block = Get<std::uint64_t>(bytes, field::kPreviousFirstBlock);
  const std::size_t count = Get<std::uint16_t>(bytes, field::kBlockCount);
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t at = field::kBlocks + i * field::kBytesPerBlock;
    header.blocks.push_back({Get<std::uint32_t>(bytes, at), Get<std::uint32_t>(bytes, at + 4)});
  }
  return header;
}

}  // namespace

std::optional<RecordHeader> DecodeRecordHeader(std::string_view bytes, std::uint64_t export_id) {
  namespace field = record_field;
  if (bytes.size() < kSectorBytes || bytes.substr(0, kRecordMagic.size()) != kRecordMagic ||
      Get<std::uint64_t>(bytes, field::kExportId) != export_id) {
    return std::nullopt;
  }
  const std::size_t count = Get<std::uint16_t>(bytes, field::kBlockCount);
  const std::size_t header_size = RecordHeaderSize(count);
  if (count > kMaxRecordBlocks || bytes.size() < header_size ||
      Get<std::uint32_t>(bytes, field::kChecksum) != RecordChecksum(bytes.substr(0, header_size))) {
    return std::nullopt;
  }
  RecordHeader header = DecodeHeaderFields(bytes);
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
