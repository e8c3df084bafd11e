// Files in tests/integrity/stored were written by version 0.2.0 before its code was renamed: a checksummed
// export with a journal that had not been applied yet and one damaged block, a damage ledger, and scrub
// cursors. Whatever is stored in the field has to be read, and written again, byte for byte.
#include <doctest/doctest.h>

#include <fstream>
#include <iterator>
#include <string>

#include "driver.h"
#include "integrity/cursor.h"
#include "integrity/ledger.h"

namespace walnutspur::test {
namespace {

using namespace integrity;
using Kind = Command::Kind;
using Status = Result::Status;

std::string ReadStored(const std::string& name) {
  std::ifstream file(std::string(WALNUTSPUR_ROOT) + "/tests/integrity/stored/" + name, std::ios::binary);
  REQUIRE(file);
  return {std::istreambuf_iterator<char>(file), {}};
}

TEST_CASE("a checksummed export that version 0.2.0 left with an unapplied journal is read in full") {
  const std::string image = ReadStored("export.img");
  REQUIRE(image.size() == 12 * kBlock + (64 << 10));
  Driver driver(image.size(), 1);
  driver.disk().Write(0, image, true);
  driver.Start();
  driver.Settle();
  REQUIRE(driver.volume().state() == Volume::State::kReady);
  REQUIRE(driver.volume().size() == 8 * kBlock);

  std::string second(kBlock, 'a');
  second.replace(100, 50, std::string(50, 'd'));  // a partial write that stands in the journal alone
  const std::string expected[] = {std::string(kBlock, 'a'),
                                  second,
                                  std::string(kBlock, '\0'),  // trimmed in the journal
                                  "",                         // damaged
                                  std::string(kBlock, 'e'),
                                  std::string(kBlock, '\0'),
                                  std::string(kBlock, '\0'),
                                  std::string(kBlock, '\0')};
  for (std::uint64_t block = 0; block < 8; ++block) {
    CAPTURE(block);
    const Result result = driver.Do(Kind::kRead, block * kBlock, kBlock);
    if (block == 3) {
      CHECK(result.status == Status::kDamaged);
      REQUIRE(result.bad.size() == 1);
      CHECK(result.bad[0].block == block);
    } else {
      CHECK(result.status == Status::kDone);
      CHECK(result.data == expected[block]);
    }
  }

  // What it wrote back is read by the next process as well.
  driver.Start();
  driver.Settle();
  REQUIRE(driver.volume().state() == Volume::State::kReady);
  CHECK(driver.Do(Kind::kRead, kBlock, kBlock).data == second);
  CHECK(driver.Do(Kind::kRead, 2 * kBlock, kBlock).data == std::string(kBlock, '\0'));
  CHECK(driver.Do(Kind::kRead, 3 * kBlock, kBlock).status == Status::kDamaged);
  CHECK(driver.Do(Kind::kRead, 4 * kBlock, kBlock).data == std::string(kBlock, 'e'));
}

TEST_CASE("a damage ledger that version 0.2.0 wrote is read, and written again as it was") {
  const std::string bytes = ReadStored("damage.ledger");
  Ledger ledger;
  std::string error;
  REQUIRE_MESSAGE(ledger.Decode(bytes, &error), error);
  REQUIRE(ledger.entries().size() == 3);
  const Entry* at_rest = ledger.Find({"target-1", "disk", 3});
  REQUIRE(at_rest);
  CHECK(*at_rest == Entry{Fault::kRest, false, 1'700'000'000'000'000, 1'700'000'000'000'000, 1, -1, 0});
  const Entry* on_path = ledger.Find({"target-1", "disk", 9});
  REQUIRE(on_path);
  CHECK(*on_path == Entry{Fault::kPath, true, 1'700'000'001'000'000, 1'700'000'001'000'000, 1, 1, 0});
  const Entry* rewritten = ledger.Find({"target-2", "other", 4});
  REQUIRE(rewritten);
  CHECK(*rewritten == Entry{Fault::kLost, true, 1'700'000'002'000'000, 1'700'000'003'000'000, 1, -1, 0});
  CHECK(ledger.bad() == 1);
  CHECK(ledger.Encode() == bytes);
}

TEST_CASE("scrub cursors that version 0.2.0 wrote are read, and written again as they were") {
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
