// Tests that stored structures of a checksummed export are rejected if they have flipped bits, come from
// another export or a newer version, or were read from the wrong offset, and that valid structures decode to
// the encoded values.
#include "integrity/layout.h"

#include <doctest/doctest.h>

#include "integrity/volume.h"

namespace walnutspur::integrity {
namespace {

TEST_CASE("FitGeometry: for any size the regions fit, adjoin and cover every block") {
  CHECK_FALSE(FitGeometry(kMinJournalBytes + 2 * kBlockBytes, kMinJournalBytes));
  CHECK_FALSE(FitGeometry(0, kMinJournalBytes));
  for (std::uint64_t blocks = 3; blocks < 3000; blocks += 7) {
    const std::uint64_t size = kMinJournalBytes + (2 + blocks) * kBlockBytes + 77;
    const auto g = FitGeometry(size, kMinJournalBytes);
    REQUIRE(g);
    CHECK(g->tag_blocks * kTagsPerBlock >= g->blocks);
    CHECK(g->tags_offset == g->blocks * kBlockBytes);
    CHECK(g->journal_offset == g->tags_offset + 2 * g->tag_blocks * kBlockBytes);
    CHECK(g->journal_offset + g->journal_size <= g->superblock_offset);
    CHECK(g->superblock_offset + 2 * kBlockBytes <= size);
    CHECK(g->superblock_offset - g->journal_offset - g->journal_size <
          3 * kBlockBytes);  // fewer than three blocks are unused
  }
}

Superblock Sample(std::uint64_t size) {
  Superblock s;
  s.export_id = 77;
  s.geometry = *FitGeometry(size, kMinJournalBytes);
  s.epoch = 3;
  s.sequence = 9;
  s.tail_offset = 1024;
  s.tail_sequence = 12;
  return s;
}

TEST_CASE(
    "Superblock: a valid one decodes; corrupt ones and superblocks of a newer version, of another format or "
    "for another export size are rejected") {
  const std::uint64_t size = 1 << 20;
  const std::string good = Encode(Sample(size));
  const DecodedSuperblock read = DecodeSuperblock(good, size);
  REQUIRE(read.state == SuperblockState::kValid);
  CHECK(read.superblock.epoch == 3);
  CHECK(read.superblock.tail_sequence == 12);
  for (std::size_t bit = 0; bit < kSectorBytes * 8; ++bit) {
    std::string bad = good;
    bad[bit / 8] ^= static_cast<char>(1 << bit % 8);
    const auto state = DecodeSuperblock(bad, size).state;
    CHECK(state != SuperblockState::kValid);
  }
  CHECK(DecodeSuperblock(std::string(kBlockBytes, '\0'), size).state == SuperblockState::kMissing);
  CHECK(DecodeSuperblock("", size).state == SuperblockState::kMissing);
  CHECK(DecodeSuperblock(std::string(kBlockBytes, 'x'), size).state == SuperblockState::kForeign);
  CHECK(DecodeSuperblock(good, size * 2).state == SuperblockState::kForeign);
  CHECK(DecodeSuperblock(good, size - 8 * kBlockBytes).state == SuperblockState::kForeign);
  Superblock newer = Sample(size);
  newer.version = kLayoutVersion + 1;
  const DecodedSuperblock later = DecodeSuperblock(Encode(newer), size);
  CHECK(later.state == SuperblockState::kNewer);
  CHECK(later.error.find("version 2") != std::string::npos);
}

TEST_CASE("ChooseSuperblock: the later valid copy is used, and a newer version is never ignored") {
  const std::uint64_t size = 1 << 20;
  Superblock old = Sample(size);
  Superblock young = Sample(size);
  Superblock newer = Sample(size);
  young.sequence = 10;
  newer.version = kLayoutVersion + 1;
  const auto a = DecodeSuperblock(Encode(old), size);
  const auto b = DecodeSuperblock(Encode(young), size);
  const auto c = DecodeSuperblock(Encode(newer), size);
  const auto none = DecodeSuperblock("", size);
  CHECK(ChooseSuperblock(a, b).superblock.sequence == 10);
  CHECK(ChooseSuperblock(b, a).superblock.sequence == 10);
  CHECK(ChooseSuperblock(a, none).state == SuperblockState::kValid);
  CHECK(ChooseSuperblock(none, none).state == SuperblockState::kMissing);
  CHECK(ChooseSuperblock(a, c).state == SuperblockState::kNewer);
}

TEST_CASE("Tag blocks and journal records: each flipped bit and each wrong location is detected") {
  TagBlock tags;
  tags.index = 5;
  tags.version = 8;
  tags.tags[3] = {4, 5, 6};
  const std::string good = Encode(tags, 77);
  REQUIRE(DecodeTagBlock(good, 77, 5));
  CHECK(DecodeTagBlock(good, 77, 5)->tags[3] == Tag{4, 5, 6});
  CHECK_FALSE(DecodeTagBlock(good, 77, 6));
  CHECK_FALSE(DecodeTagBlock(good, 78, 5));
  CHECK(DecodeTagBlock(std::string(kBlockBytes, '\0'), 77, 5)->version == 0);
  const std::string data(2 * kBlockBytes, 'd');
  RecordHeader header;
  header.sequence = 4;
  header.first_block = 11;
  header.size = RecordSize(2, true);
  for (std::uint64_t i = 0; i < 2; ++i) {
    header.blocks.push_back({1, TagSum(DataSum(data.substr(0, kBlockBytes)), 77, 11 + i, 1)});
  }
  const std::string record = Encode(header, data, 77);
  REQUIRE(DecodeRecordHeader(record, 77));
  CHECK(RecordDataMatches(*DecodeRecordHeader(record, 77), record, 77));
  CHECK_FALSE(DecodeRecordHeader(record, 78));
  int detected = 0;
  int bits = 0;
  for (std::size_t bit = 0; bit < record.size() * 8; bit += 13, ++bits) {
    std::string bad = record;
    bad[bit / 8] ^= static_cast<char>(1 << bit % 8);
    const auto read = DecodeRecordHeader(bad, 77);
    detected += !read || !RecordDataMatches(*read, bad, 77);
    std::string bad_tags = good;
    bad_tags[bit / 8 % kBlockBytes] ^= static_cast<char>(1 << bit % 8);
    if (bit / 8 % kBlockBytes < 36 || bit / 8 % kBlockBytes >= kTagHeaderBytes) {
      CHECK_FALSE(DecodeTagBlock(bad_tags, 77, 5));
    }
  }
  CHECK(detected == bits);
  CHECK_FALSE(
      RecordDataMatches(*DecodeRecordHeader(record, 77), std::string_view(record).substr(0, 5000), 77));
}

TEST_CASE("FormatPlan: an export that is too small is rejected with an explanation") {
  CHECK_THROWS_WITH(FormatPlan(kBlockBytes, kMinJournalBytes, 1), doctest::Contains("no room for tags"));
}

}  // namespace
}  // namespace walnutspur::integrity
