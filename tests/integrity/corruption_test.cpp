// Tests that corruption on a checksummed volume is detected and attributed. Bits flip on the disk or on one
// path; a write reports success but is lost, torn or written to another block; a read returns the content
// before the last write; the volume's tags, journal or superblock are corrupt. No corrupt content may reach a
// client, the corruption log must name the component at fault, and writing a block again must repair it.
#include <doctest/doctest.h>

#include "driver.h"
#include "integrity/corruption_log.h"
#include "integrity/fault_attribution.h"
#include "integrity/path_health.h"
#include "lab/storage_server/corruption_kind.h"

namespace walnutspur::test {
namespace {

using namespace integrity;
using lab::CorruptionKind;
using Kind = Command::Kind;

constexpr std::uint64_t kBlocks = 64;
constexpr std::uint64_t kSize = (kBlocks + 2 + 2) * kBlockBytes + (128 << 10);

struct CorruptionFixture {
  CorruptionFixture(std::uint64_t seed, int paths_to_target)
      : driver(kSize, seed), paths(paths_to_target), path_count(paths_to_target) {
    driver.Format(128 << 10);
    driver.Start();
    driver.Settle();
    for (int round = 0; round < 2; ++round) {
      for (std::uint64_t block = 0; block < kBlocks; ++block) {
        Write(block);
      }
      Checkpoint();
    }
    driver.disk().KeepHistory();
  }
  void Write(std::uint64_t block) {
    std::string data(kBlockBytes, '\0');
    for (char& c : data) {
      c = static_cast<char>(driver.disk().Draw(256));
    }
    REQUIRE(driver.Do(Kind::kWrite, block * kBlockBytes, kBlockBytes, data).status ==
            CommandResult::Status::kCompleted);
    content[block] = data;
  }
  void Checkpoint() {
    driver.volume().Checkpoint();
    driver.Settle();
    REQUIRE_FALSE(driver.volume().dirty());
  }
  // Reads a block until a fault is attributed, on other paths if there are any, at most `max_reads` times.
  std::optional<FaultAttribution> Read(std::uint64_t block, int max_reads = 6) {
    std::set<int> avoid;
    for (int i = 0; i < max_reads; ++i) {
      path = paths.Choose(now += 1000, avoid);
      const CommandResult result = driver.Do(Kind::kRead, block * kBlockBytes, kBlockBytes);
      Reading reading;
      reading.path = path;
      reading.good = result.status == CommandResult::Status::kCompleted;
      if (reading.good) {
        CHECK(result.data == content[block]);  // never corrupt data
      } else {
        REQUIRE(result.corrupt_blocks.size() == 1);
        CHECK(result.data == std::string(kBlockBytes, '\0'));
        reading.mismatch = result.corrupt_blocks[0].mismatch;
        reading.data_sum = result.corrupt_blocks[0].data_sum;
        reading.owner_block = result.corrupt_blocks[0].owner_block;
        avoid.insert(path);
      }
      const BlockLocation location{"box", "export", block};
      if (const auto attribution = investigations.AddReading(location, path_count, reading, now)) {
        log.Record(location, *attribution, now);
        if (attribution->fault == Fault::kPath) {
          paths.RecordFault(attribution->path, now);
        }
        return attribution;
      }
      if (reading.good) {
        return std::nullopt;
      }
    }
    return std::nullopt;
  }

  Driver driver;
  PathHealth paths;
  int path_count = 1;
  int path = 0;
  CorruptionInvestigations investigations;
  CorruptionLog log;
  Time now = 0;
  std::map<std::uint64_t, std::string> content;
};

// Makes a write of the block report success although it is lost, misdirected to `other`, or torn.
void InjectAtWrite(CorruptionFixture& fixture, CorruptionKind damage, std::uint64_t block,
                   std::uint64_t other, int* injected) {
  lab::BlockDevice& disk = fixture.driver.disk();
  fixture.driver.on_io = [&, injected](const IoRequest& io, std::string*, bool* executed) {
    if (io.purpose != IoPurpose::kCheckpoint || io.offset != block * kBlockBytes) {
      return IoStatus::kCompleted;
    }
    ++*injected;
    *executed = false;
    if (damage == CorruptionKind::kMisdirectedWrite) {
      disk.Write(other * kBlockBytes, io.AllBytes(), false);
    }
    if (damage == CorruptionKind::kTornWrite) {
      const auto sectors = 1 + disk.Draw(7);
      disk.Write(io.offset, io.AllBytes().substr(0, sectors * kSectorBytes), false);
    }
    return IoStatus::kCompleted;
  };
  fixture.Write(block);
  fixture.Checkpoint();
  fixture.driver.on_io = nullptr;
}

// Makes reads return the previous content once, or flipped bits: once on the only path, always on path 0 of
// several.
void InjectAtRead(CorruptionFixture& fixture, CorruptionKind damage, std::uint64_t block, int* injected) {
  if (damage == CorruptionKind::kStaleRead) {
    fixture.Write(block);
    fixture.Checkpoint();
  }
  fixture.driver.on_io = [&fixture, damage, injected](const IoRequest& io, std::string* data, bool*) {
    lab::BlockDevice& disk = fixture.driver.disk();
    if (io.purpose != IoPurpose::kData) {
      return IoStatus::kCompleted;
    }
    if (damage == CorruptionKind::kStaleRead && *injected == 0) {
      *data = disk.Before(io.offset, io.length);
      ++*injected;
    }
    if (damage == CorruptionKind::kTransitBitFlip &&
        (fixture.path_count == 1 ? *injected == 0 : fixture.path == 0)) {
      *data = disk.Read(io.offset, io.length);
      lab::FlipBits(data, 3, &disk.random());
      ++*injected;
    }
    return IoStatus::kCompleted;
  };
}

// Injects the corruption and counts the injections in `*injected`.
void Inject(CorruptionFixture& fixture, CorruptionKind damage, std::uint64_t block, std::uint64_t other,
            int* injected) {
  if (damage == CorruptionKind::kLostWrite || damage == CorruptionKind::kMisdirectedWrite ||
      damage == CorruptionKind::kTornWrite) {
    InjectAtWrite(fixture, damage, block, other, injected);
  } else if (damage == CorruptionKind::kStoredBitFlip) {
    lab::BlockDevice& disk = fixture.driver.disk();
    disk.Flip(block * kBlockBytes, kBlockBytes, 1 + static_cast<int>(disk.Draw(9)));
    ++*injected;
  } else {
    InjectAtRead(fixture, damage, block, injected);
  }
}

Fault ExpectedFault(CorruptionKind damage, int path_count) {
  switch (damage) {
    case CorruptionKind::kTransitBitFlip:
      return path_count > 1 ? Fault::kPath : Fault::kMemory;
    case CorruptionKind::kStaleRead:
      return Fault::kStaleRead;
    case CorruptionKind::kLostWrite:
    case CorruptionKind::kMisdirectedWrite:  // looks lost until its other end has been read
      return Fault::kLostWrite;
    case CorruptionKind::kStoredBitFlip:
    case CorruptionKind::kTornWrite:
      break;
  }
  return Fault::kAtRest;
}

void CheckBothEndsAreMisdirected(CorruptionFixture& fixture, std::uint64_t block, std::uint64_t other) {
  const auto attribution = fixture.Read(other);
  REQUIRE(attribution);
  CHECK(attribution->fault == Fault::kMisdirectedWrite);
  CHECK(attribution->owner_block == block);
  CHECK(fixture.log.Find({"box", "export", block})->fault == Fault::kMisdirectedWrite);
}

void CheckCorruptionIsAttributed(CorruptionKind damage, std::uint64_t seed, int path_count) {
  CAPTURE(lab::NameOf(damage));
  CAPTURE(seed);
  CAPTURE(path_count);
  CorruptionFixture fixture(seed, path_count);
  const std::uint64_t block = fixture.driver.disk().Draw(kBlocks);
  std::uint64_t other = fixture.driver.disk().Draw(kBlocks);
  if (other == block) {
    other = (other + 1) % kBlocks;
  }
  int injected = 0;
  Inject(fixture, damage, block, other, &injected);
  std::optional<FaultAttribution> attribution;
  for (int i = 0; i < 4 && !attribution; ++i) {  // an intact path may be chosen first
    attribution = fixture.Read(block);
  }
  REQUIRE(injected > 0);
  REQUIRE(attribution);
  if (damage == CorruptionKind::kMisdirectedWrite) {
    CheckBothEndsAreMisdirected(fixture, block, other);
  } else {
    CHECK(attribution->fault == ExpectedFault(damage, path_count));
  }
  if (damage == CorruptionKind::kTransitBitFlip && path_count > 1) {
    CHECK(attribution->path == 0);
  }
  // Writing the blocks again repairs them.
  fixture.driver.on_io = nullptr;
  fixture.Write(block);
  fixture.Write(other);
  fixture.Checkpoint();
  CHECK_FALSE(fixture.Read(block));
  CHECK_FALSE(fixture.Read(other));
}

TEST_CASE("Volume: each kind of corruption is detected and attributed to the component at fault") {
  for (const CorruptionKind damage :
       {CorruptionKind::kTransitBitFlip, CorruptionKind::kStoredBitFlip, CorruptionKind::kLostWrite,
        CorruptionKind::kMisdirectedWrite, CorruptionKind::kStaleRead, CorruptionKind::kTornWrite}) {
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
      for (const int paths : {1, 2, 3}) {
        CheckCorruptionIsAttributed(damage, seed, paths);
      }
    }
  }
}

// The target's memory is faulty: each reading of a block has different bits flipped, on every path.
TEST_CASE("Fault attribution: mismatches that differ on every path are attributed to the target's memory") {
  CorruptionFixture fixture(3, 2);
  fixture.driver.on_io = [&](const IoRequest& io, std::string* data, bool*) {
    if (io.purpose != IoPurpose::kData) {
      return IoStatus::kCompleted;
    }
    *data = fixture.driver.disk().Read(io.offset, io.length);
    lab::FlipBits(data, 5, &fixture.driver.disk().random());
    return IoStatus::kCompleted;
  };
  const auto attribution = fixture.Read(7);
  REQUIRE(attribution);
  CHECK(attribution->fault == Fault::kMemory);
}

// A client overwrites a part of a block whose other part is corrupt. A new tag over both parts would make the
// corruption undetectable.
TEST_CASE("Volume: a write over part of a corrupt block is not executed") {
  CorruptionFixture fixture(4, 1);
  fixture.driver.disk().Flip(9 * kBlockBytes, kBlockBytes, 2);
  const CommandResult result =
      fixture.driver.Do(Kind::kWrite, 9 * kBlockBytes + 10, 100, std::string(100, 'x'));
  CHECK(result.status == CommandResult::Status::kCorrupted);
  CHECK(fixture.driver.Do(Kind::kRead, 9 * kBlockBytes, kBlockBytes).status ==
        CommandResult::Status::kCorrupted);
  // A larger read returns the blocks around the corrupt one, which it reports.
  const CommandResult wide = fixture.driver.Do(Kind::kRead, 8 * kBlockBytes, 3 * kBlockBytes);
  REQUIRE(wide.corrupt_blocks.size() == 1);
  CHECK(wide.corrupt_blocks[0].block == 9);
  CHECK(wide.data.substr(0, kBlockBytes) == fixture.content[8]);
  CHECK(wide.data.substr(2 * kBlockBytes) == fixture.content[10]);
}

// One or both slots of a tag block are corrupted while no process runs, so that no tag is in memory. With one
// slot left some blocks can be verified; with none no block may be returned, until it is written again.
TEST_CASE("Tag blocks: with one corrupt slot the other is used, with two no block can be verified") {
  for (const bool both : {false, true}) {
    CorruptionFixture fixture(5, 1);
    const std::uint64_t at = fixture.driver.volume().superblock().geometry.SlotOffset(0, 0);
    const std::uint64_t newer = at + fixture.driver.volume().checkpoints() % 2 * kBlockBytes;
    fixture.driver.disk().Flush();
    fixture.driver.Kill(false);
    fixture.driver.disk().Flip(both ? at : newer == at ? at + kBlockBytes : at, kBlockBytes, 4);
    if (both) {
      fixture.driver.disk().Flip(at + kBlockBytes, kBlockBytes, 4);
    }
    fixture.driver.Start();
    fixture.driver.Settle();
    int good = 0;
    int bad = 0;
    for (int round = 0; round < 4; ++round) {
      for (std::uint64_t block = 0; block < kBlocks; ++block) {
        const CommandResult result = fixture.driver.Do(Kind::kRead, block * kBlockBytes, kBlockBytes);
        if (result.status == CommandResult::Status::kCompleted) {
          CHECK(result.data == fixture.content[block]);
        }
        (result.status == CommandResult::Status::kCompleted ? good : bad) += 1;
      }
    }
    CHECK((both ? good == 0 : good > 0));
    fixture.Write(3);
    fixture.Checkpoint();
    CHECK_FALSE(fixture.Read(3));  // writing it again repairs it
  }
}

// The first read of a tag block after a restart has a bit of one slot flipped in transit. If the outdated
// tags of the other slot were used, intact blocks would be reported as corrupt.
TEST_CASE("Tag blocks: if one slot is corrupted in transit, the outdated tags of the other are not used") {
  for (const int slot : {0, 1}) {
    CorruptionFixture fixture(8, 1);
    fixture.driver.disk().Flush();
    fixture.driver.Kill(false);
    fixture.driver.Start();
    fixture.driver.Settle();
    int hits = 0;
    fixture.driver.on_io = [&](const IoRequest& io, std::string* data, bool*) {
      if (io.purpose != IoPurpose::kTags || hits++ > 0) {
        return IoStatus::kCompleted;
      }
      *data = fixture.driver.disk().Read(io.offset, io.length);
      (*data)[static_cast<std::size_t>(slot) * kBlockBytes + 700] ^= 4;
      return IoStatus::kCompleted;
    };
    fixture.driver.Do(Kind::kRead, 0, kBlockBytes);
    REQUIRE(hits > 0);
    for (std::uint64_t block = 0; block < kBlocks; ++block) {
      CHECK(fixture.driver.Do(Kind::kRead, block * kBlockBytes, kBlockBytes).data == fixture.content[block]);
    }
  }
}

// A write was flushed, so its journal record is durable; while no process runs, the record's header or data
// is corrupted. A replay that took it for a record cut off by a crash would return the block's old content.
TEST_CASE("Journal replay: blocks of a corrupt durable record are reported, not read with old content") {
  for (const bool head : {false, true}) {
    CorruptionFixture fixture(6, 1);
    const std::uint64_t start = fixture.driver.volume().superblock().geometry.journal_offset +
                                fixture.driver.volume().superblock().tail_offset;
    fixture.Write(10);
    REQUIRE(fixture.driver.Do(Kind::kFlush, 0, 0).status == CommandResult::Status::kCompleted);
    fixture.Write(11);
    fixture.driver.Kill(false);
    // The record begins at the tail, unless a filler precedes it.
    fixture.driver.disk().Flip(start + (head ? 8 : 1000), head ? 64 : 2000, 3);
    fixture.driver.Start();
    fixture.driver.Settle();
    REQUIRE(fixture.driver.volume().state() == Volume::State::kReady);
    const CommandResult result = fixture.driver.Do(Kind::kRead, 10 * kBlockBytes, kBlockBytes);
    REQUIRE(result.status == CommandResult::Status::kCorrupted);
    CHECK(fixture.driver.Do(Kind::kRead, 11 * kBlockBytes, kBlockBytes).data == fixture.content[11]);
    CHECK(fixture.driver.Do(Kind::kRead, 12 * kBlockBytes, kBlockBytes).data == fixture.content[12]);
    fixture.Checkpoint();  // the same holds after a checkpoint and another restart
    fixture.driver.Kill(false);
    fixture.driver.Start();
    fixture.driver.Settle();
    CHECK(fixture.driver.Do(Kind::kRead, 10 * kBlockBytes, kBlockBytes).status ==
          CommandResult::Status::kCorrupted);
    fixture.Write(10);
    CHECK(fixture.driver.Do(Kind::kRead, 10 * kBlockBytes, kBlockBytes).data == fixture.content[10]);
  }
}

// An export is attached and written to although its superblock is missing, belongs to another program, has a
// newer version or is corrupt.
TEST_CASE("Volume: attaching an unformatted, foreign, newer or corrupt export fails and does not change it") {
  for (const char* state : {"nothing", "foreign", "newer", "corrupt"}) {
    CAPTURE(state);
    Driver driver(kSize, 1);
    if (std::string(state) != "nothing") {
      driver.Format(128 << 10);
    }
    const std::uint64_t at = (kSize / kBlockBytes - 2) * kBlockBytes;
    if (std::string(state) == "foreign") {
      driver.disk().Write(at, std::string(2 * kBlockBytes, 'x'), true);
    }
    if (std::string(state) == "corrupt") {
      driver.disk().Flip(at + 100, 300, 2);
    }
    if (std::string(state) == "newer") {
      Superblock super = DecodeSuperblock(driver.disk().Read(at, kBlockBytes), kSize).superblock;
      super.version = kLayoutVersion + 1;
      driver.disk().Write(at, Encode(super), true);
    }
    const std::string before = driver.disk().Read(0, kSize);
    driver.Start();
    driver.Submit(Kind::kWrite, 0, 4, "data");
    driver.Settle();
    CHECK(driver.volume().state() == Volume::State::kFailed);
    CHECK_FALSE(driver.volume().error().empty());
    CHECK(driver.volume().error().find('\n') == std::string::npos);
    CHECK(driver.results.at(1).status == CommandResult::Status::kRejected);
    CHECK(driver.disk().Read(0, kSize) == before);
  }
}

}  // namespace
}  // namespace walnutspur::test
