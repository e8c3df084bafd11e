// The bytes at the box: what is encoded is read back, and what is damaged, foreign, newer or of another place
// is told apart.
#include "integrity/layout.h"

#include <doctest/doctest.h>

#include "integrity/volume.h"

namespace walnutspur::integrity {
namespace {

TEST_CASE("the regions of any size fit, adjoin and cover every block") {
  CHECK_FALSE(Fit(kLeastJournal + 2 * kBlock, kLeastJournal));
  CHECK_FALSE(Fit(0, kLeastJournal));
  for (std::uint64_t blocks = 3; blocks < 3000; blocks += 7) {
    const std::uint64_t size = kLeastJournal + (2 + blocks) * kBlock + 77;
    const auto g = Fit(size, kLeastJournal);
    REQUIRE(g);
    CHECK(g->tag_blocks * kTagsPerBlock >= g->blocks);
    CHECK(g->tags_at == g->blocks * kBlock);
    CHECK(g->journal_at == g->tags_at + 2 * g->tag_blocks * kBlock);
    CHECK(g->journal_at + g->journal_size <= g->super_at);
    CHECK(g->super_at + 2 * kBlock <= size);
    CHECK(g->super_at - g->journal_at - g->journal_size < 3 * kBlock);  // nothing to speak of is wasted
  }
}

Superblock Sample(std::uint64_t size) {
  Superblock s;
  s.export_id = 77;
  s.geometry = *Fit(size, kLeastJournal);
  s.epoch = 3;
  s.sequence = 9;
  s.tail_at = 1024;
  s.tail_sequence = 12;
  return s;
}

TEST_CASE("a superblock is read back; damaged, newer, foreign and resized ones are told apart") {
  const std::uint64_t size = 1 << 20;
  const std::string good = Encode(Sample(size));
  const SuperRead read = DecodeSuper(good, size);
  REQUIRE(read.state == SuperState::kWhole);
  CHECK(read.super.epoch == 3);
  CHECK(read.super.tail_sequence == 12);
  for (std::size_t bit = 0; bit < kSector * 8; ++bit) {
    std::string bad = good;
    bad[bit / 8] ^= static_cast<char>(1 << bit % 8);
    const auto state = DecodeSuper(bad, size).state;
    CHECK(state != SuperState::kWhole);
  }
  CHECK(DecodeSuper(std::string(kBlock, '\0'), size).state == SuperState::kNone);
  CHECK(DecodeSuper("", size).state == SuperState::kNone);
  CHECK(DecodeSuper(std::string(kBlock, 'x'), size).state == SuperState::kForeign);
  CHECK(DecodeSuper(good, size * 2).state == SuperState::kForeign);
  CHECK(DecodeSuper(good, size - 8 * kBlock).state == SuperState::kForeign);
  Superblock newer = Sample(size);
  newer.version = kVersion + 1;
  const SuperRead later = DecodeSuper(Encode(newer), size);
  CHECK(later.state == SuperState::kNewer);
  CHECK(later.what.find("version 2") != std::string::npos);
}

TEST_CASE("of two superblocks the later whole one holds, and a newer version is never passed over") {
  const std::uint64_t size = 1 << 20;
  Superblock old = Sample(size), young = Sample(size), newer = Sample(size);
  young.sequence = 10;
  newer.version = kVersion + 1;
  const auto a = DecodeSuper(Encode(old), size), b = DecodeSuper(Encode(young), size);
  const auto c = DecodeSuper(Encode(newer), size), none = DecodeSuper("", size);
  CHECK(ChooseSuper(a, b).super.sequence == 10);
  CHECK(ChooseSuper(b, a).super.sequence == 10);
  CHECK(ChooseSuper(a, none).state == SuperState::kWhole);
  CHECK(ChooseSuper(none, none).state == SuperState::kNone);
  CHECK(ChooseSuper(a, c).state == SuperState::kNewer);
}

TEST_CASE("tag blocks and records: each flipped bit, and each other place, is told") {
  TagBlock tags;
  tags.index = 5;
  tags.version = 8;
  tags.tags[3] = {4, 5, 6};
  const std::string good = Encode(tags, 77);
  REQUIRE(DecodeTags(good, 77, 5));
  CHECK(DecodeTags(good, 77, 5)->tags[3] == Tag{4, 5, 6});
  CHECK_FALSE(DecodeTags(good, 77, 6));
  CHECK_FALSE(DecodeTags(good, 78, 5));
  CHECK(DecodeTags(std::string(kBlock, '\0'), 77, 5)->version == 0);
  const std::string data(2 * kBlock, 'd');
  RecordHead head;
  head.sequence = 4;
  head.first = 11;
  head.size = RecordSize(2, true);
  for (std::uint64_t i = 0; i < 2; ++i)
    head.blocks.push_back({1, TagSum(DataSum(data.substr(0, kBlock)), 77, 11 + i, 1)});
  const std::string record = Encode(head, data, 77);
  REQUIRE(DecodeHead(record, 77));
  CHECK(DataFits(*DecodeHead(record, 77), record, 77));
  CHECK_FALSE(DecodeHead(record, 78));
  int told = 0, bits = 0;
  for (std::size_t bit = 0; bit < record.size() * 8; bit += 13, ++bits) {
    std::string bad = record;
    bad[bit / 8] ^= static_cast<char>(1 << bit % 8);
    const auto read = DecodeHead(bad, 77);
    told += !read || !DataFits(*read, bad, 77);
    std::string bad_tags = good;
    bad_tags[bit / 8 % kBlock] ^= static_cast<char>(1 << bit % 8);
    if (bit / 8 % kBlock < 36 || bit / 8 % kBlock >= kTagHead) CHECK_FALSE(DecodeTags(bad_tags, 77, 5));
  }
  CHECK(told == bits);
  CHECK_FALSE(DataFits(*DecodeHead(record, 77), std::string_view(record).substr(0, 5000), 77));
}

TEST_CASE("an export that is too small is said so") {
  CHECK_THROWS_WITH(FormatPlan(kBlock, kLeastJournal, 1), doctest::Contains("no room for tags"));
}

}  // namespace
}  // namespace walnutspur::integrity
