#include "integrity/layout.h"

#include <algorithm>
#include <array>
#include <cstring>

#include "integrity/crc32c.h"

namespace walnutspur::integrity {
namespace {

constexpr std::string_view kSuperMagic = "WSPRSUP1", kTagMagic = "WSPRTAG1", kRecordMagic = "WSPRREC1";
constexpr std::size_t kRecordFixed = 72, kRecordEach = 8;

template <typename Bytes, typename T>
void Put(Bytes* out, std::size_t at, T value) {
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    (*out)[at + i] = static_cast<char>(value >> (8 * i) & 0xff);
  }
}
template <typename T>
T Get(std::string_view in, std::size_t at) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    value |= static_cast<std::uint64_t>(static_cast<unsigned char>(in[at + i])) << (8 * i);
  }
  return static_cast<T>(value);
}

bool AllZero(std::string_view bytes) {
  return std::all_of(bytes.begin(), bytes.end(), [](char c) { return c == 0; });
}

// The sum stands in the last four bytes of what it covers.
void Seal(std::string* bytes, std::size_t size) {
  Put(bytes, size - 4, Crc32c(std::string_view(*bytes).substr(0, size - 4)));
}
bool Sealed(std::string_view bytes, std::size_t size) {
  return Get<std::uint32_t>(bytes, size - 4) == Crc32c(bytes.substr(0, size - 4));
}

std::size_t HeadSize(std::size_t blocks) {
  const std::size_t bytes = kRecordFixed + kRecordEach * blocks;
  return (bytes + kSector - 1) / kSector * kSector;
}

}  // namespace

std::optional<Geometry> Fit(std::uint64_t size, std::uint64_t journal) {
  journal = std::max(kLeastJournal, journal) / kBlock * kBlock;
  const std::uint64_t all = size / kBlock;
  const std::uint64_t fixed = journal / kBlock + 2;
  if (all <= fixed) {
    return std::nullopt;
  }
  const std::uint64_t room = all - fixed;
  Geometry g;
  // The most blocks for which blocks + 2 * ceil(blocks / tags a block) fit.
  g.blocks = room * kTagsPerBlock / (kTagsPerBlock + 2);
  const auto tag_blocks = [](std::uint64_t n) { return (n + kTagsPerBlock - 1) / kTagsPerBlock; };
  while (g.blocks + 1 + 2 * tag_blocks(g.blocks + 1) <= room) {
    ++g.blocks;
  }
  while (g.blocks > 0 && g.blocks + 2 * tag_blocks(g.blocks) > room) {
    --g.blocks;
  }
  if (g.blocks == 0) {
    return std::nullopt;
  }
  g.tag_blocks = tag_blocks(g.blocks);
  g.tags_at = g.blocks * kBlock;
  g.journal_at = g.tags_at + 2 * g.tag_blocks * kBlock;
  g.journal_size = journal;
  g.super_at = (all - 2) * kBlock;
  return g;
}

std::string Encode(const Superblock& s) {
  std::string out(kBlock, '\0');
  out.replace(0, kSuperMagic.size(), kSuperMagic);
  Put(&out, 8, s.version);
  Put(&out, 12, kBlock);
  Put(&out, 16, s.export_id);
  Put(&out, 24, s.geometry.blocks);
  Put(&out, 32, s.geometry.journal_size);
  Put(&out, 40, s.geometry.super_at);
  Put(&out, 48, s.epoch);
  Put(&out, 56, s.sequence);
  Put(&out, 64, s.tail_at);
  Put(&out, 72, s.tail_sequence);
  Put(&out, 80, s.tail_epoch);
  Seal(&out, kSector);  // one sector: it is written whole or not at all
  return out;
}

SuperRead DecodeSuper(std::string_view bytes, std::uint64_t size) {
  SuperRead read;
  if (bytes.size() < kSector || AllZero(bytes.substr(0, kSector))) {
    read.what = "there is no superblock: the export is not formatted";
    return read;
  }
  if (bytes.substr(0, kSuperMagic.size()) != kSuperMagic) {
    read.state = SuperState::kForeign;
    read.what = "where the superblock should be there is something else";
    return read;
  }
  if (!Sealed(bytes, kSector)) {
    read.state = SuperState::kDamaged;
    read.what = "the superblock's checksum does not fit";
    return read;
  }
  Superblock& s = read.super;
  s.version = Get<std::uint16_t>(bytes, 8);
  if (s.version > kVersion) {
    read.state = SuperState::kNewer;
    read.what = "the superblock is of version " + std::to_string(s.version) + "; known are versions up to " +
                std::to_string(kVersion);
    return read;
  }
  s.export_id = Get<std::uint64_t>(bytes, 16);
  s.epoch = Get<std::uint64_t>(bytes, 48);
  s.sequence = Get<std::uint64_t>(bytes, 56);
  s.tail_at = Get<std::uint64_t>(bytes, 64);
  s.tail_sequence = Get<std::uint64_t>(bytes, 72);
  s.tail_epoch = Get<std::uint64_t>(bytes, 80);
  const auto journal = Get<std::uint64_t>(bytes, 32);
  const auto blocks = Get<std::uint64_t>(bytes, 24);
  const auto super_at = Get<std::uint64_t>(bytes, 40);
  // What it says of the layout must be what this size gives: nothing is read or written on its word alone.
  const auto fits = Fit(size, journal);
  if (Get<std::uint32_t>(bytes, 12) != kBlock || !fits || fits->blocks != blocks ||
      fits->super_at != super_at || fits->journal_size != journal || s.tail_at >= journal ||
      s.tail_at % kSector != 0 || s.tail_sequence == 0) {
    read.state = SuperState::kForeign;
    read.what = "the superblock speaks of another layout than an export of " + std::to_string(size) +
                " bytes has: the export was resized or copied";
    return read;
  }
  s.geometry = *fits;
  read.state = SuperState::kWhole;
  return read;
}

SuperRead ChooseSuper(const SuperRead& a, const SuperRead& b) {
  // A newer version beside anything else may be the one that holds: it is not touched.
  if (a.state == SuperState::kNewer) {
    return a;
  }
  if (b.state == SuperState::kNewer) {
    return b;
  }
  const bool whole_a = a.state == SuperState::kWhole;
  const bool whole_b = b.state == SuperState::kWhole;
  if (whole_a && whole_b) {
    return a.super.sequence >= b.super.sequence ? a : b;
  }
  if (whole_a) {
    return a;
  }
  if (whole_b) {
    return b;
  }
  return a.state == SuperState::kNone ? b : a;
}

std::uint32_t DataSum(std::string_view block) { return Crc32c(block); }

std::uint32_t TagSum(std::uint32_t data_sum, std::uint64_t export_id, std::uint64_t block,
                     std::uint32_t generation) {
  std::array<char, 20> salt{};
  Put(&salt, 0, export_id);
  Put(&salt, 8, block);
  Put(&salt, 16, generation);
  return Crc32c({salt.data(), salt.size()}, data_sum);
}

std::string Encode(const TagBlock& block, std::uint64_t export_id) {
  std::string out(kBlock, '\0');
  out.replace(0, kTagMagic.size(), kTagMagic);
  Put(&out, 8, export_id);
  Put(&out, 16, block.index);
  Put(&out, 24, block.version);
  for (std::size_t i = 0; i < kTagsPerBlock; ++i) {
    const std::size_t at = kTagHead + i * kTagBytes;
    Put(&out, at, block.tags[i].generation);
    Put(&out, at + 4, block.tags[i].sum);
    Put(&out, at + 8, block.tags[i].previous);
  }
  // In the head, and over all the rest: a tag block is eight sectors and may be torn.
  Put(&out, 32, Crc32c(std::string_view(out).substr(kTagHead), Crc32c(std::string_view(out).substr(0, 32))));
  return out;
}

std::optional<TagBlock> DecodeTags(std::string_view bytes, std::uint64_t export_id, std::uint64_t index) {
  TagBlock block;
  block.index = index;
  if (bytes.size() < kBlock) {
    return std::nullopt;
  }
  bytes = bytes.substr(0, kBlock);
  if (AllZero(bytes)) {
    return block;
  }
  if (bytes.substr(0, kTagMagic.size()) != kTagMagic || Get<std::uint64_t>(bytes, 8) != export_id ||
      Get<std::uint64_t>(bytes, 16) != index) {
    return std::nullopt;
  }
  if (Get<std::uint32_t>(bytes, 32) != Crc32c(bytes.substr(kTagHead), Crc32c(bytes.substr(0, 32)))) {
    return std::nullopt;
  }
  block.version = Get<std::uint64_t>(bytes, 24);
  for (std::size_t i = 0; i < kTagsPerBlock; ++i) {
    const std::size_t at = kTagHead + i * kTagBytes;
    block.tags[i] = {Get<std::uint32_t>(bytes, at), Get<std::uint32_t>(bytes, at + 4),
                     Get<std::uint32_t>(bytes, at + 8)};
  }
  return block;
}

std::uint32_t RecordSize(std::size_t blocks, bool has_data) {
  return static_cast<std::uint32_t>(HeadSize(blocks) + (has_data ? blocks * kBlock : 0));
}

std::string Encode(const RecordHead& head, std::string_view data, std::uint64_t export_id) {
  const std::size_t size = HeadSize(head.blocks.size());
  std::string out(size, '\0');
  out.replace(0, kRecordMagic.size(), kRecordMagic);
  Put(&out, 8, export_id);
  Put(&out, 16, head.sequence);
  Put(&out, 24, head.epoch);
  Put(&out, 32, head.durable);
  Put(&out, 40, head.first);
  Put(&out, 48, head.size);
  Put(&out, 52, static_cast<std::uint16_t>(head.blocks.size()));
  Put(&out, 54, static_cast<std::uint16_t>(head.has_data));
  Put(&out, 60, head.before_count);
  Put(&out, 64, head.before_first);
  for (std::size_t i = 0; i < head.blocks.size(); ++i) {
    Put(&out, kRecordFixed + i * kRecordEach, head.blocks[i].generation);
    Put(&out, kRecordFixed + i * kRecordEach + 4, head.blocks[i].sum);
  }
  // The sum covers the head without itself; it stands at 56.
  Put(&out, 56, Crc32c(std::string_view(out).substr(60), Crc32c(std::string_view(out).substr(0, 56))));
  out.append(data);
  return out;
}

std::optional<RecordHead> DecodeHead(std::string_view bytes, std::uint64_t export_id) {
  if (bytes.size() < kSector || bytes.substr(0, kRecordMagic.size()) != kRecordMagic) {
    return std::nullopt;
  }
  if (Get<std::uint64_t>(bytes, 8) != export_id) {
    return std::nullopt;
  }
  const std::size_t count = Get<std::uint16_t>(bytes, 52);
  const std::size_t size = HeadSize(count);
  if (count > kMostRecordBlocks || bytes.size() < size) {
    return std::nullopt;
  }
  if (Get<std::uint32_t>(bytes, 56) != Crc32c(bytes.substr(60, size - 60), Crc32c(bytes.substr(0, 56)))) {
    return std::nullopt;
  }
  RecordHead head;
  head.sequence = Get<std::uint64_t>(bytes, 16);
  head.epoch = Get<std::uint64_t>(bytes, 24);
  head.durable = Get<std::uint64_t>(bytes, 32);
  head.first = Get<std::uint64_t>(bytes, 40);
  head.size = Get<std::uint32_t>(bytes, 48);
  head.has_data = Get<std::uint16_t>(bytes, 54) != 0;
  head.before_count = Get<std::uint16_t>(bytes, 60);
  head.before_first = Get<std::uint64_t>(bytes, 64);
  for (std::size_t i = 0; i < count; ++i) {
    head.blocks.push_back({Get<std::uint32_t>(bytes, kRecordFixed + i * kRecordEach),
                           Get<std::uint32_t>(bytes, kRecordFixed + i * kRecordEach + 4)});
  }
  // Records that only fill may be of any size; the others have the one that their blocks give.
  const bool size_fits = count == 0 ? head.size >= kSector && head.size % kSector == 0
                                    : head.size == RecordSize(count, head.has_data);
  if (!size_fits) {
    return std::nullopt;
  }
  return head;
}

std::string_view DataOf(const RecordHead& head, std::string_view bytes, std::size_t index) {
  return bytes.substr(HeadSize(head.blocks.size()) + index * kBlock, kBlock);
}

bool DataFits(const RecordHead& head, std::string_view bytes, std::uint64_t export_id) {
  if (head.blocks.empty()) {
    return true;
  }
  if (bytes.size() < head.size) {
    return false;
  }
  if (!head.has_data) {
    return true;
  }
  for (std::size_t i = 0; i < head.blocks.size(); ++i) {
    const RecordBlock& b = head.blocks[i];
    if (TagSum(DataSum(DataOf(head, bytes, i)), export_id, head.first + i, b.generation) != b.sum) {
      return false;
    }
  }
  return true;
}

}  // namespace walnutspur::integrity
