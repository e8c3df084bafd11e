// Files kept by a thread of their own: a disk that hangs, fails or comes back, and the scrub's cursor.
#include <doctest/doctest.h>

#include <atomic>
#include <filesystem>
#include <future>
#include <vector>

#include "filestore/atomic_file.h"
#include "filestore/file_store.h"
#include "integrity/cursor.h"
#include "lab/process.h"

namespace walnutspur::filestore {
namespace {

using std::chrono::milliseconds;

TEST_CASE("a file that cannot be replaced stays as it was") {
  const lab::Folder folder;
  std::string what;
  REQUIRE(WriteFileAtomically(folder.path(), "a", "old", &what));
  std::filesystem::create_directory(folder.path() + "/a.new");  // where the next one would be written
  std::filesystem::create_directory(folder.path() + "/a.new/full");
  CHECK_FALSE(WriteFileAtomically(folder.path(), "a", "new", &what));
  CHECK(what == "cannot open " + folder.path() + "/a.new: Is a directory");
  CHECK(ReadWholeFile(folder.path() + "/a") == "old");
  std::filesystem::remove_all(folder.path() + "/a.new");
  CHECK(WriteFileAtomically(folder.path(), "a", "new", &what));
  CHECK(ReadWholeFile(folder.path() + "/a") == "new");
  CHECK_FALSE(ReadWholeFile(folder.path() + "/b"));
}

TEST_CASE("while a disk hangs, Put returns, and of what waits the newest alone is written") {
  std::promise<void> entered, release;
  std::vector<std::string> wrote;
  {
    FileStore keeper(
        [&](const std::string&, const std::string& bytes, std::string*) {
          wrote.push_back(bytes);
          if (wrote.size() == 1) {
            entered.set_value();
            release.get_future().wait();
          }
          return true;
        },
        [](const std::string&) {});
    keeper.Put("a", "1");
    entered.get_future().wait();
    for (int i = 2; i <= 1000; ++i) keeper.Put("a", std::to_string(i));
    CHECK_FALSE(keeper.Flush(milliseconds(1)));
    release.set_value();
    CHECK(keeper.Flush(milliseconds(10000)));
  }
  CHECK(wrote == std::vector<std::string>{"1", "1000"});
}

TEST_CASE("a disk that fails is tried again, told once, and the newest content wins") {
  std::atomic<bool> broken = true;
  std::atomic<int> tries = 0;
  std::vector<std::string> told, wrote;
  {
    FileStore keeper(
        [&](const std::string&, const std::string& bytes, std::string* what) {
          ++tries;
          if (broken) *what = "no room";
          if (!broken) wrote.push_back(bytes);
          return !broken;
        },
        [&](const std::string& what) { told.push_back(what); }, milliseconds(1), milliseconds(4));
    keeper.Put("a", "old");
    while (tries < 5) std::this_thread::yield();
    keeper.Put("a", "new");
    broken = false;
    REQUIRE(keeper.Flush(milliseconds(10000)));
    CHECK(keeper.failed() >= 4);
    broken = true;
    keeper.Put("a", "last");  // the end gives it one more try, and does not go on for ever
  }
  CHECK(wrote.back() == "new");
  CHECK(told == std::vector<std::string>{"no room", "", "no room"});
}

TEST_CASE("a scrub's cursors come back whole or not at all") {
  using integrity::Cursors;
  using integrity::DecodeCursors;
  const Cursors cursors = {{"clinic letters", {160, 3, 1'700'000'000'000'000}}, {"x", {}}};
  const std::string bytes = integrity::Encode(cursors);
  std::string what;
  CHECK(DecodeCursors(bytes, &what) == cursors);
  for (std::size_t size = 0; size < bytes.size(); ++size)
    CHECK_FALSE(DecodeCursors(bytes.substr(0, size), &what));
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    std::string bad = bytes;
    bad[i] = static_cast<char>(bad[i] ^ 1);
    CHECK_MESSAGE(!DecodeCursors(bad, &what), "a flipped bit in byte ", i, " was not seen");
  }
  CHECK_FALSE(DecodeCursors("walnutspur-scrub 2\nanything", &what));
  CHECK(what == "is of a newer version");
}

}  // namespace
}  // namespace walnutspur::filestore
