// Every kind of damage: caught, never handed on, blamed on the right place.
#include <doctest/doctest.h>

#include "driver.h"
#include "integrity/blame.h"
#include "integrity/ledger.h"
#include "lab/storage_server/damage.h"

namespace walnutspur::test {
namespace {

using namespace integrity;
using lab::Damage;
using Kind = Command::Kind;

constexpr std::uint64_t kBlocks = 64;
constexpr std::uint64_t kSize = (kBlocks + 2 + 2) * kBlock + (128 << 10);

struct World {
  World(std::uint64_t seed, int paths_count) : driver(kSize, seed), paths(paths_count), count(paths_count) {
    driver.Format(128 << 10);
    driver.Start();
    driver.Settle();
    for (int round = 0; round < 2; ++round) {
      for (std::uint64_t block = 0; block < kBlocks; ++block) Write(block);
      Checkpoint();
    }
    driver.disk().KeepHistory();
  }
  void Write(std::uint64_t block) {
    std::string data(kBlock, '\0');
    for (char& c : data) c = static_cast<char>(driver.disk().Draw(256));
    REQUIRE(driver.Do(Kind::kWrite, block * kBlock, kBlock, data).status == Result::Status::kDone);
    content[block] = data;
  }
  void Checkpoint() {
    driver.volume().Checkpoint();
    driver.Settle();
    REQUIRE_FALSE(driver.volume().dirty());
  }
  // Reads until a verdict falls, on other paths where there are some; never more often than `most`.
  std::optional<Verdict> Read(std::uint64_t block, int most = 6) {
    std::set<int> avoid;
    for (int i = 0; i < most; ++i) {
      path = paths.Choose(now += 1000, avoid);
      const Result r = driver.Do(Kind::kRead, block * kBlock, kBlock);
      Reading reading;
      reading.path = path;
      reading.good = r.status == Result::Status::kDone;
      if (reading.good) {
        CHECK(r.data == content[block]);  // the one thing that counts
      } else {
        REQUIRE(r.bad.size() == 1);
        CHECK(r.data == std::string(kBlock, '\0'));
        reading.looks = r.bad[0].looks;
        reading.found = r.bad[0].found;
        reading.belongs_to = r.bad[0].belongs_to;
        avoid.insert(path);
      }
      const Place place{"box", "export", block};
      if (const auto verdict = cases.Note(place, count, reading, now)) {
        ledger.Note(place, *verdict, now);
        if (verdict->fault == Fault::kPath) paths.Bad(verdict->path, now);
        return verdict;
      }
      if (reading.good) return std::nullopt;
    }
    return std::nullopt;
  }

  Driver driver;
  Paths paths;
  int count = 1;
  int path = 0;
  Cases cases;
  Ledger ledger;
  Time now = 0;
  std::map<std::uint64_t, std::string> content;
};

void Damaged(Damage damage, std::uint64_t seed, int paths) {
  CAPTURE(lab::NameOf(damage));
  CAPTURE(seed);
  CAPTURE(paths);
  World w(seed, paths);
  const std::uint64_t block = w.driver.disk().Draw(kBlocks);
  std::uint64_t other = w.driver.disk().Draw(kBlocks);
  if (other == block) other = (other + 1) % kBlocks;
  int hit = 0;
  const bool at_write = damage == Damage::kLost || damage == Damage::kAstray || damage == Damage::kTorn;
  if (at_write) {
    w.driver.on_io = [&](const Io& io, std::string*, bool* ran) {
      if (io.purpose != IoFor::kApply || io.offset != block * kBlock) return IoEnd::kDone;
      ++hit;
      *ran = false;  // and yet it says that it is done
      if (damage == Damage::kAstray) w.driver.disk().Write(other * kBlock, io.All(), false);
      if (damage == Damage::kTorn) {
        const auto sectors = 1 + w.driver.disk().Draw(7);
        w.driver.disk().Write(io.offset, io.All().substr(0, sectors * kSector), false);
      }
      return IoEnd::kDone;
    };
    w.Write(block);
    w.Checkpoint();
    w.driver.on_io = nullptr;
  } else if (damage == Damage::kFlipRest) {
    w.driver.disk().Flip(block * kBlock, kBlock, 1 + static_cast<int>(w.driver.disk().Draw(9)));
    ++hit;
  } else {
    if (damage == Damage::kStale) w.Write(block), w.Checkpoint();
    w.driver.on_io = [&](const Io& io, std::string* data, bool*) {
      if (io.purpose != IoFor::kData) return IoEnd::kDone;
      if (damage == Damage::kStale && hit == 0) {
        *data = w.driver.disk().Before(io.offset, io.length);
        ++hit;
      }
      if (damage == Damage::kFlipPath && (paths == 1 ? hit == 0 : w.path == 0)) {
        *data = w.driver.disk().Read(io.offset, io.length);
        lab::FlipBits(data, 3, &w.driver.disk().random());
        ++hit;
      }
      return IoEnd::kDone;
    };
  }
  std::optional<Verdict> verdict;
  for (int i = 0; i < 4 && !verdict; ++i) verdict = w.Read(block);  // a good path may be taken first
  REQUIRE(hit > 0);
  REQUIRE(verdict);
  switch (damage) {
    case Damage::kFlipPath:
      CHECK(verdict->fault == (paths > 1 ? Fault::kPath : Fault::kMemory));
      if (paths > 1) CHECK(verdict->path == 0);
      break;
    case Damage::kFlipRest:
    case Damage::kTorn:
      CHECK(verdict->fault == Fault::kRest);
      break;
    case Damage::kStale:
      CHECK(verdict->fault == Fault::kStale);
      break;
    case Damage::kLost:
      CHECK(verdict->fault == Fault::kLost);
      break;
    case Damage::kAstray: {
      const auto there = w.Read(other);
      REQUIRE(there);
      CHECK(there->fault == Fault::kAstray);
      CHECK(there->belongs_to == block);
      CHECK(w.ledger.Find({"box", "export", block})->fault == Fault::kAstray);  // both ends
      break;
    }
  }
  // Written anew the block is whole again.
  w.driver.on_io = nullptr;
  w.Write(block);
  w.Write(other);
  w.Checkpoint();
  CHECK_FALSE(w.Read(block));
  CHECK_FALSE(w.Read(other));
}

TEST_CASE("each kind of damage is caught and blamed on the right place") {
  for (const Damage damage : {Damage::kFlipPath, Damage::kFlipRest, Damage::kLost, Damage::kAstray,
                              Damage::kStale, Damage::kTorn}) {
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
      for (const int paths : {1, 2, 3}) Damaged(damage, seed, paths);
    }
  }
}

TEST_CASE("answers that differ each time are the box's memory, unless another path is good") {
  World w(3, 2);
  w.driver.on_io = [&](const Io& io, std::string* data, bool*) {
    if (io.purpose != IoFor::kData) return IoEnd::kDone;
    *data = w.driver.disk().Read(io.offset, io.length);
    lab::FlipBits(data, 5, &w.driver.disk().random());
    return IoEnd::kDone;
  };
  const auto verdict = w.Read(7);
  REQUIRE(verdict);
  CHECK(verdict->fault == Fault::kMemory);
}

TEST_CASE("a write over part of a damaged block is not carried out: it would make the damage look whole") {
  World w(4, 1);
  w.driver.disk().Flip(9 * kBlock, kBlock, 2);
  const Result r = w.driver.Do(Kind::kWrite, 9 * kBlock + 10, 100, std::string(100, 'x'));
  CHECK(r.status == Result::Status::kDamaged);
  CHECK(w.driver.Do(Kind::kRead, 9 * kBlock, kBlock).status == Result::Status::kDamaged);
  // The neighbours of a damaged block can be read, and it is named.
  const Result wide = w.driver.Do(Kind::kRead, 8 * kBlock, 3 * kBlock);
  REQUIRE(wide.bad.size() == 1);
  CHECK(wide.bad[0].block == 9);
  CHECK(wide.data.substr(0, kBlock) == w.content[8]);
  CHECK(wide.data.substr(2 * kBlock) == w.content[10]);
}

// Restarted, a volume must find damaged tags and records out without anything in memory.
TEST_CASE("damaged tags: one slot leaves the other, both leave nothing that could be handed on") {
  for (const bool both : {false, true}) {
    World w(5, 1);
    const std::uint64_t at = w.driver.volume().super().geometry.SlotAt(0, 0);
    const std::uint64_t newer = at + w.driver.volume().checkpoints() % 2 * kBlock;
    w.driver.disk().Flush();
    w.driver.Kill(false);
    w.driver.disk().Flip(both ? at : newer == at ? at + kBlock : at, kBlock, 4);
    if (both) w.driver.disk().Flip(at + kBlock, kBlock, 4);
    w.driver.Start();
    w.driver.Settle();
    int good = 0, bad = 0;
    for (int round = 0; round < 4; ++round) {
      for (std::uint64_t block = 0; block < kBlocks; ++block) {
        const Result r = w.driver.Do(Kind::kRead, block * kBlock, kBlock);
        if (r.status == Result::Status::kDone) CHECK(r.data == w.content[block]);
        (r.status == Result::Status::kDone ? good : bad) += 1;
      }
    }
    CHECK((both ? good == 0 : good > 0));
    w.Write(3);
    w.Checkpoint();
    CHECK_FALSE(w.Read(3));  // what is written anew is whole
  }
}

TEST_CASE("a slot that is flipped on its way only does not make old tags believed") {
  for (const int slot : {0, 1}) {
    World w(8, 1);
    w.driver.disk().Flush();
    w.driver.Kill(false);
    w.driver.Start();
    w.driver.Settle();
    int hits = 0;
    w.driver.on_io = [&](const Io& io, std::string* data, bool*) {
      if (io.purpose != IoFor::kTags || hits++ > 0) return IoEnd::kDone;
      *data = w.driver.disk().Read(io.offset, io.length);
      (*data)[static_cast<std::size_t>(slot) * kBlock + 700] ^= 4;
      return IoEnd::kDone;
    };
    w.driver.Do(Kind::kRead, 0, kBlock);
    REQUIRE(hits > 0);
    for (std::uint64_t block = 0; block < kBlocks; ++block)
      CHECK(w.driver.Do(Kind::kRead, block * kBlock, kBlock).data == w.content[block]);
  }
}

TEST_CASE("a record that was durable and is damaged now: its blocks are named, not handed out old") {
  for (const bool head : {false, true}) {
    World w(6, 1);
    const std::uint64_t start =
        w.driver.volume().super().geometry.journal_at + w.driver.volume().super().tail_at;
    w.Write(10);
    REQUIRE(w.driver.Do(Kind::kFlush, 0, 0).status == Result::Status::kDone);
    w.Write(11);
    w.driver.Kill(false);
    // The record begins at the tail unless the ring's end had to be filled first.
    w.driver.disk().Flip(start + (head ? 8 : 1000), head ? 64 : 2000, 3);
    w.driver.Start();
    w.driver.Settle();
    REQUIRE(w.driver.volume().state() == Volume::State::kReady);
    const Result lost = w.driver.Do(Kind::kRead, 10 * kBlock, kBlock);
    REQUIRE(lost.status == Result::Status::kDamaged);
    CHECK(w.driver.Do(Kind::kRead, 11 * kBlock, kBlock).data == w.content[11]);
    CHECK(w.driver.Do(Kind::kRead, 12 * kBlock, kBlock).data == w.content[12]);
    w.Checkpoint();  // and not after the journal has moved on either
    w.driver.Kill(false);
    w.driver.Start();
    w.driver.Settle();
    CHECK(w.driver.Do(Kind::kRead, 10 * kBlock, kBlock).status == Result::Status::kDamaged);
    w.Write(10);
    CHECK(w.driver.Do(Kind::kRead, 10 * kBlock, kBlock).data == w.content[10]);
  }
}

TEST_CASE("an export that is not ours, newer or damaged is left untouched, with one line") {
  for (const char* what : {"nothing", "foreign", "newer", "damaged"}) {
    CAPTURE(what);
    Driver driver(kSize, 1);
    if (std::string(what) != "nothing") driver.Format(128 << 10);
    const std::uint64_t at = (kSize / kBlock - 2) * kBlock;
    if (std::string(what) == "foreign") driver.disk().Write(at, std::string(2 * kBlock, 'x'), true);
    if (std::string(what) == "damaged") driver.disk().Flip(at + 100, 300, 2);
    if (std::string(what) == "newer") {
      Superblock super = DecodeSuper(driver.disk().Read(at, kBlock), kSize).super;
      super.version = kVersion + 1;
      driver.disk().Write(at, Encode(super), true);
    }
    const std::string before = driver.disk().Read(0, kSize);
    driver.Start();
    driver.Submit(Kind::kWrite, 0, 4, "data");
    driver.Settle();
    CHECK(driver.volume().state() == Volume::State::kBroken);
    CHECK_FALSE(driver.volume().why().empty());
    CHECK(driver.volume().why().find('\n') == std::string::npos);
    CHECK(driver.results.at(1).status == Result::Status::kRefused);
    CHECK(driver.disk().Read(0, kSize) == before);
  }
}

}  // namespace
}  // namespace walnutspur::test
