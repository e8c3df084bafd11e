// Tests path health, investigations and the corruption log. A path that corrupts data must be avoided until
// it has recovered and passed a probation. If many blocks are corrupt at once, investigations and the
// corruption log must stay bounded. A log file that is truncated, corrupt or of another program must be
// rejected completely and not be overwritten.
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

TEST_CASE("PathHealth: faults and successes move a path through all states and back without flapping") {
  PathHealth paths(2);
  Time now = 0;
  for (int i = 0; i < 100; ++i) {
    paths.RecordSuccess(0, now);
  }
  paths.RecordFault(0, now);
  CHECK(paths.StateOf(0, now) == PathState::kSuspect);
  CHECK(paths.Choose(now) == 1);
  CHECK(paths.Choose(now) == 1);
  CHECK(paths.Choose(now, {1}) == 0);  // a path to avoid ranks after a suspect one
  CHECK(paths.StateOf(0, now + 61 * kSecond) ==
        PathState::kSuspect);  // 0.5 is under one bound, not the other
  CHECK(paths.StateOf(0, now + 125 * kSecond) == PathState::kHealthy);
  now += 300 * kSecond;
  for (int i = 0; i < 3; ++i) {
    paths.RecordFault(0, now);
  }
  CHECK(paths.StateOf(0, now) == PathState::kQuarantined);
  for (int i = 0; i < 50; ++i) {
    CHECK(paths.Choose(now) == 1);
  }
  now += 11 * kSecond;
  CHECK(paths.StateOf(0, now) == PathState::kProbation);
  int probes = 0;
  for (int i = 0; i < 160; ++i) {
    probes += paths.Choose(now) == 0;
  }
  CHECK(probes == 10);
  paths.RecordFault(0, now);  // one fault is enough on probation, and the quarantine is longer
  CHECK(paths.StateOf(0, now + 15 * kSecond) == PathState::kQuarantined);
  now += 21 * kSecond;
  for (int i = 0; i < 64; ++i) {
    CHECK(paths.StateOf(0, now) == PathState::kProbation);
    paths.RecordSuccess(0, now);
  }
  CHECK(paths.StateOf(0, now) == PathState::kHealthy);
}

TEST_CASE("PathHealth: the only path is chosen in every state") {
  PathHealth paths(1);
  for (int i = 0; i < 10; ++i) {
    paths.RecordFault(0, 0);
  }
  CHECK(paths.StateOf(0, 0) == PathState::kQuarantined);
  CHECK(paths.Choose(0) == 0);
  CHECK(paths.Choose(0, {0}) == 0);
}

TEST_CASE("PathHealth: a few faults among very many successes do not quarantine a path") {
  PathHealth paths(2);
  for (int i = 0; i < 10000; ++i) {
    paths.RecordSuccess(0, 0);
  }
  for (int i = 0; i < 5; ++i) {
    paths.RecordFault(0, 0);
  }
  CHECK(paths.StateOf(0, 0) == PathState::kSuspect);
}

TEST_CASE("CorruptionInvestigations: open ones are bounded, and a rewritten block starts a new one") {
  CorruptionInvestigations investigations(3);
  Reading bad;
  for (std::uint64_t block = 0; block < 10; ++block) {
    investigations.AddReading({"b", "e", block}, 1, bad, Time(block));
  }
  CHECK(investigations.open_count() == 3);
  CHECK(investigations.IsOpen({"b", "e", 9}));
  investigations.Forget({"b", "e", 9});
  CHECK_FALSE(
      investigations.AddReading({"b", "e", 9}, 1, bad, 20));  // the first reading of a new investigation
  const auto attribution = investigations.AddReading({"b", "e", 9}, 1, bad, 21);
  REQUIRE(attribution);
  CHECK(attribution->fault == Fault::kAtRest);
  CHECK_FALSE(investigations.AddReading({"b", "e", 5}, 1, {0, true, {}, 0, 0}, 22));
}

CorruptionLog FilledLog() {
  CorruptionLog log;
  log.Record({"b", "e", 1}, {Fault::kAtRest, -1, 0, 2}, 10);
  log.Record({"b", "e", 2}, {Fault::kPath, 1, 0, 2}, 11);
  log.Record({"c", "e", 1}, {Fault::kMisdirectedWrite, -1, 9, 2}, 12);
  return log;
}

TEST_CASE("CorruptionLog: truncated or corrupt bytes are rejected completely") {
  CorruptionLog log = FilledLog();
  CHECK(log.IsCorrupt({"b", "e", 1}));
  CHECK_FALSE(log.IsCorrupt({"b", "e", 2}));  // the path is at fault: the block is intact
  const std::string bytes = log.Encode();
  CorruptionLog read;
  std::string error;
  REQUIRE(read.Decode(bytes, &error));
  CHECK(read.entries() == log.entries());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(read.Decode(std::string_view(bytes).substr(0, size), &error));
  }
  for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
    std::string bad = bytes;
    bad[bit / 8] ^= static_cast<char>(1 << bit % 8);
    CHECK_FALSE(read.Decode(bad, &error));
  }
  CHECK_FALSE(read.Decode(bytes + "x", &error));
  CHECK(read.entries() == log.entries());  // a rejected log changes nothing
  std::string newer = bytes;
  newer[8] = 2;
  CHECK_FALSE(read.Decode(newer, &error));
  CHECK(error == "has format version 2; this program supports versions up to 1");
}

TEST_CASE("CorruptionLog: when full, repaired entries are dropped first, and dropped ones are counted") {
  CorruptionLog log(3);
  log.Record({"b", "e", 1}, {Fault::kAtRest, -1, 0, 2}, 10);
  log.Record({"b", "e", 2}, {Fault::kAtRest, -1, 0, 2}, 11);
  log.Record({"b", "e", 3}, {Fault::kAtRest, -1, 0, 2}, 12);
  log.MarkRepaired({"b", "e", 3}, 13);
  log.Record({"b", "e", 4}, {Fault::kAtRest, -1, 0, 2}, 14);
  CHECK_FALSE(log.Find({"b", "e", 3}));
  log.Record({"b", "e", 5}, {Fault::kAtRest, -1, 0, 2}, 15);
  CHECK_FALSE(log.Find({"b", "e", 1}));
  CHECK(log.dropped() == 2);
  CHECK(log.corrupt_count() == 3);
}

TEST_CASE("CorruptionLogFile: a rejected file is renamed and not overwritten") {
  char folder[] = "/tmp/walnutspur-ledger-XXXXXX";
  REQUIRE(mkdtemp(folder));
  std::string error;
  CorruptionLog log = FilledLog();
  CorruptionLog read;
  CorruptionLogFile file(folder);
  CHECK(file.Load(&read, &error) == CorruptionLogFile::LoadResult::kMissing);
  REQUIRE(file.Save(log, &error));
  CHECK(file.Load(&read, &error) == CorruptionLogFile::LoadResult::kLoaded);
  CHECK(read.entries() == log.entries());
  std::ofstream(file.path(), std::ios::trunc) << "of another program";
  CHECK(file.Load(&read, &error) == CorruptionLogFile::LoadResult::kRejected);
  CHECK(error == file.path() + " is not a corruption log");
  REQUIRE(file.Save(log, &error));
  std::ifstream rejected(file.path() + ".refused");
  std::string text;
  std::getline(rejected, text);
  CHECK(text == "of another program");
  CorruptionLogFile nowhere(std::string(folder) + "/no/such");
  CHECK_FALSE(nowhere.Save(log, &error));
  CHECK(error.find("cannot open") == 0);
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace walnutspur::integrity
