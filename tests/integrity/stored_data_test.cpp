// Tests that an updated initiator reads the files of an earlier version. The files in tests/integrity/stored
// were written by version 0.2.0: a checksummed export with an unapplied journal and one corrupt block, a
// corruption log, and scrub cursors. Every stored file must be read, and written again byte for byte.
#include <doctest/doctest.h>

#include <fstream>
#include <iterator>
#include <string>

#include "driver.h"
#include "integrity/corruption_log.h"
#include "integrity/cursor.h"

namespace walnutspur::test {
namespace {

using namespace integrity;
using Kind = Command::Kind;
using Status = CommandResult::Status;

std::string ReadStored(const std::string& name) {
  std::ifstream file(std::string(WALNUTSPUR_ROOT) + "/tests/integrity/stored/" + name, std::ios::binary);
  REQUIRE(file);
  return {std::istreambuf_iterator<char>(file), {}};
}

TEST_CASE("Volume: an export of version 0.2.0 with an unapplied journal is read completely") {
  const std::string image = ReadStored("export.img");
  REQUIRE(image.size() == 12 * kBlockBytes + (64 << 10));
  Driver driver(image.size(), 1);
  driver.disk().Write(0, image, true);
  driver.Start();
  driver.Settle();
  REQUIRE(driver.volume().state() == Volume::State::kReady);
  REQUIRE(driver.volume().size() == 8 * kBlockBytes);

  std::string second(kBlockBytes, 'a');
  second.replace(100, 50, std::string(50, 'd'));  // a partial write that is only in the journal
  const std::string expected[] = {std::string(kBlockBytes, 'a'),
                                  second,
                                  std::string(kBlockBytes, '\0'),  // trimmed in the journal
                                  "",                              // corrupt
                                  std::string(kBlockBytes, 'e'),
                                  std::string(kBlockBytes, '\0'),
                                  std::string(kBlockBytes, '\0'),
                                  std::string(kBlockBytes, '\0')};
  for (std::uint64_t block = 0; block < 8; ++block) {
    CAPTURE(block);
    const CommandResult result = driver.Do(Kind::kRead, block * kBlockBytes, kBlockBytes);
    if (block == 3) {
      CHECK(result.status == Status::kCorrupted);
      REQUIRE(result.corrupt_blocks.size() == 1);
      CHECK(result.corrupt_blocks[0].block == block);
    } else {
      CHECK(result.status == Status::kCompleted);
      CHECK(result.data == expected[block]);
    }
  }

  // The next process reads the data that this one has written.
  driver.Start();
  driver.Settle();
  REQUIRE(driver.volume().state() == Volume::State::kReady);
  CHECK(driver.Do(Kind::kRead, kBlockBytes, kBlockBytes).data == second);
  CHECK(driver.Do(Kind::kRead, 2 * kBlockBytes, kBlockBytes).data == std::string(kBlockBytes, '\0'));
  CHECK(driver.Do(Kind::kRead, 3 * kBlockBytes, kBlockBytes).status == Status::kCorrupted);
  CHECK(driver.Do(Kind::kRead, 4 * kBlockBytes, kBlockBytes).data == std::string(kBlockBytes, 'e'));
}

TEST_CASE("CorruptionLog: the log of version 0.2.0 is read and written again unchanged") {
  const std::string bytes = ReadStored("damage.ledger");
  CorruptionLog log;
  std::string error;
  REQUIRE_MESSAGE(log.Decode(bytes, &error), error);
  REQUIRE(log.entries().size() == 3);
  const CorruptionEntry* at_rest = log.Find({"target-1", "disk", 3});
  REQUIRE(at_rest);
  CHECK(*at_rest ==
        CorruptionEntry{Fault::kAtRest, false, 1'700'000'000'000'000, 1'700'000'000'000'000, 1, -1, 0});
  const CorruptionEntry* on_path = log.Find({"target-1", "disk", 9});
  REQUIRE(on_path);
  CHECK(*on_path ==
        CorruptionEntry{Fault::kPath, true, 1'700'000'001'000'000, 1'700'000'001'000'000, 1, 1, 0});
  const CorruptionEntry* rewritten = log.Find({"target-2", "other", 4});
  REQUIRE(rewritten);
  CHECK(*rewritten ==
        CorruptionEntry{Fault::kLostWrite, true, 1'700'000'002'000'000, 1'700'000'003'000'000, 1, -1, 0});
  CHECK(log.corrupt_count() == 1);
  CHECK(log.Encode() == bytes);
}

TEST_CASE("Cursors: the scrub cursors of version 0.2.0 are read and written again unchanged") {
  const std::string bytes = ReadStored("scrub.cursor");
  std::string error;
  const auto cursors = DecodeCursors(bytes, &error);
  REQUIRE_MESSAGE(cursors, error);
  const Cursors expected{{"disk", {12, 3, 1'700'000'000'000'000}}, {"other", {0, 0, 1'700'000'004'000'000}}};
  CHECK(*cursors == expected);
  CHECK(Encode(*cursors) == bytes);
}

}  // namespace
}  // namespace walnutspur::test
