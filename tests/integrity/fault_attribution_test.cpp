// Paths, the damage ledger and its file.
#include "integrity/fault_attribution.h"

#include <doctest/doctest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "integrity/corruption_log_file.h"
#include "integrity/path_health.h"

namespace walnutspur::integrity {
namespace {

constexpr Time kSecond = 1'000'000;

TEST_CASE("a path goes from healthy to suspect, quarantined, on probation and back, without flapping") {
  PathHealth paths(2);
  Time now = 0;
  for (int i = 0; i < 100; ++i) paths.RecordSuccess(0, now);
  paths.RecordFault(0, now);
  CHECK(paths.StateOf(0, now) == PathState::kSuspect);
  CHECK(paths.Choose(now) == 1);
  CHECK(paths.Choose(now) == 1);
  CHECK(paths.Choose(now, {1}) == 0);  // what has failed here is asked there, suspect or not
  CHECK(paths.StateOf(0, now + 61 * kSecond) ==
        PathState::kSuspect);  // 0.5 is under one bound, not the other
  CHECK(paths.StateOf(0, now + 125 * kSecond) == PathState::kHealthy);
  now += 300 * kSecond;
  for (int i = 0; i < 3; ++i) paths.RecordFault(0, now);
  CHECK(paths.StateOf(0, now) == PathState::kQuarantined);
  for (int i = 0; i < 50; ++i) CHECK(paths.Choose(now) == 1);
  now += 11 * kSecond;
  CHECK(paths.StateOf(0, now) == PathState::kProbation);
  int tried = 0;
  for (int i = 0; i < 160; ++i) tried += paths.Choose(now) == 0;
  CHECK(tried == 10);
  paths.RecordFault(0, now);  // once is enough now, and it lasts longer
  CHECK(paths.StateOf(0, now + 15 * kSecond) == PathState::kQuarantined);
  now += 21 * kSecond;
  for (int i = 0; i < 64; ++i) {
    CHECK(paths.StateOf(0, now) == PathState::kProbation);
    paths.RecordSuccess(0, now);
  }
  CHECK(paths.StateOf(0, now) == PathState::kHealthy);
}

TEST_CASE("the only path is used whatever its state") {
  PathHealth paths(1);
  for (int i = 0; i < 10; ++i) paths.RecordFault(0, 0);
  CHECK(paths.StateOf(0, 0) == PathState::kQuarantined);
  CHECK(paths.Choose(0) == 0);
  CHECK(paths.Choose(0, {0}) == 0);
}

TEST_CASE("a few mismatches among very many good answers quarantine no path") {
  PathHealth paths(2);
  for (int i = 0; i < 10000; ++i) paths.RecordSuccess(0, 0);
  for (int i = 0; i < 5; ++i) paths.RecordFault(0, 0);
  CHECK(paths.StateOf(0, 0) == PathState::kSuspect);
}

TEST_CASE("open cases are bounded, and a block written anew is no evidence") {
  CorruptionInvestigations cases(3);
  Reading bad;
  for (std::uint64_t block = 0; block < 10; ++block) cases.AddReading({"b", "e", block}, 1, bad, Time(block));
  CHECK(cases.open_count() == 3);
  CHECK(cases.IsOpen({"b", "e", 9}));
  cases.Forget({"b", "e", 9});
  CHECK_FALSE(cases.AddReading({"b", "e", 9}, 1, bad, 20));  // a first reading again
  const auto verdict = cases.AddReading({"b", "e", 9}, 1, bad, 21);
  REQUIRE(verdict);
  CHECK(verdict->fault == Fault::kAtRest);
  CHECK_FALSE(cases.AddReading({"b", "e", 5}, 1, {0, true, {}, 0, 0}, 22));
}

CorruptionLog Filled() {
  CorruptionLog ledger;
  ledger.Record({"b", "e", 1}, {Fault::kAtRest, -1, 0, 2}, 10);
  ledger.Record({"b", "e", 2}, {Fault::kPath, 1, 0, 2}, 11);
  ledger.Record({"c", "e", 1}, {Fault::kMisdirectedWrite, -1, 9, 2}, 12);
  return ledger;
}

TEST_CASE("the ledger is read back whole, or not at all") {
  CorruptionLog ledger = Filled();
  CHECK(ledger.IsDamaged({"b", "e", 1}));
  CHECK_FALSE(ledger.IsDamaged({"b", "e", 2}));  // the path's fault: the block is whole
  const std::string bytes = ledger.Encode();
  CorruptionLog read;
  std::string what;
  REQUIRE(read.Decode(bytes, &what));
  CHECK(read.entries() == ledger.entries());
  for (std::size_t size = 0; size < bytes.size(); ++size)
    CHECK_FALSE(read.Decode(std::string_view(bytes).substr(0, size), &what));
  for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
    std::string bad = bytes;
    bad[bit / 8] ^= static_cast<char>(1 << bit % 8);
    CHECK_FALSE(read.Decode(bad, &what));
  }
  CHECK_FALSE(read.Decode(bytes + "x", &what));
  CHECK(read.entries() == ledger.entries());  // what is refused changes nothing
  std::string newer = bytes;
  newer[8] = 2;
  CHECK_FALSE(read.Decode(newer, &what));
  CHECK(what == "is of version 2; known are versions up to 1");
}

TEST_CASE("the ledger is bounded: what is mended goes first, and what is lost is counted") {
  CorruptionLog ledger(3);
  ledger.Record({"b", "e", 1}, {Fault::kAtRest, -1, 0, 2}, 10);
  ledger.Record({"b", "e", 2}, {Fault::kAtRest, -1, 0, 2}, 11);
  ledger.Record({"b", "e", 3}, {Fault::kAtRest, -1, 0, 2}, 12);
  ledger.MarkRepaired({"b", "e", 3}, 13);
  ledger.Record({"b", "e", 4}, {Fault::kAtRest, -1, 0, 2}, 14);
  CHECK_FALSE(ledger.Find({"b", "e", 3}));
  ledger.Record({"b", "e", 5}, {Fault::kAtRest, -1, 0, 2}, 15);
  CHECK_FALSE(ledger.Find({"b", "e", 1}));
  CHECK(ledger.dropped() == 2);
  CHECK(ledger.damaged_count() == 3);
}

TEST_CASE("the ledger's file: one that is refused is moved aside and not written over") {
  char folder[] = "/tmp/walnutspur-ledger-XXXXXX";
  REQUIRE(mkdtemp(folder));
  std::string what;
  CorruptionLog ledger = Filled(), read;
  CorruptionLogFile file(folder);
  CHECK(file.Load(&read, &what) == CorruptionLogFile::LoadResult::kMissing);
  REQUIRE(file.Save(ledger, &what));
  CHECK(file.Load(&read, &what) == CorruptionLogFile::LoadResult::kLoaded);
  CHECK(read.entries() == ledger.entries());
  std::ofstream(file.path(), std::ios::trunc) << "of another program";
  CHECK(file.Load(&read, &what) == CorruptionLogFile::LoadResult::kRejected);
  CHECK(what == file.path() + " is no damage ledger");
  REQUIRE(file.Save(ledger, &what));
  std::ifstream kept(file.path() + ".refused");
  std::string text;
  std::getline(kept, text);
  CHECK(text == "of another program");
  CorruptionLogFile nowhere(std::string(folder) + "/no/such");
  CHECK_FALSE(nowhere.Save(ledger, &what));
  CHECK(what.find("cannot open") == 0);
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace walnutspur::integrity
