// Tests files that are written by a separate thread, with a disk that hangs, fails or recovers, and the scrub
// cursors.
#include "filestore/file_store.h"

#include <doctest/doctest.h>

#include <atomic>
#include <filesystem>
#include <future>
#include <vector>

#include "filestore/atomic_file.h"
#include "integrity/cursor.h"
#include "lab/fakes/temporary_folder.h"

namespace walnutspur::filestore {
namespace {

using std::chrono::milliseconds;

TEST_CASE("WriteFileAtomically: a file that cannot be replaced keeps its content") {
  const lab::TemporaryFolder folder;
  std::string error;
  REQUIRE(WriteFileAtomically(folder.path(), "a", "old", &error));
  std::filesystem::create_directory(folder.path() + "/a.new");  // where the replacement would be written
  std::filesystem::create_directory(folder.path() + "/a.new/full");
  CHECK_FALSE(WriteFileAtomically(folder.path(), "a", "new", &error));
  CHECK(error == "cannot open " + folder.path() + "/a.new: Is a directory");
  CHECK(ReadFile(folder.path() + "/a") == "old");
  std::filesystem::remove_all(folder.path() + "/a.new");
  CHECK(WriteFileAtomically(folder.path(), "a", "new", &error));
  CHECK(ReadFile(folder.path() + "/a") == "new");
  CHECK_FALSE(ReadFile(folder.path() + "/b"));
}

TEST_CASE("FileStore: while the disk hangs, Put returns, and only the newest pending content is written") {
  std::promise<void> entered;
  std::promise<void> release;
  std::vector<std::string> written;
  {
    FileStore store(
        [&](const std::string&, const std::string& bytes, std::string*) {
          written.push_back(bytes);
          if (written.size() == 1) {
            entered.set_value();
            release.get_future().wait();
          }
          return true;
        },
        [](const std::string&) {});
    store.Put("a", "1");
    entered.get_future().wait();
    for (int i = 2; i <= 1000; ++i) {
      store.Put("a", std::to_string(i));
    }
    CHECK_FALSE(store.Flush(milliseconds(1)));
    release.set_value();
    CHECK(store.Flush(milliseconds(10000)));
  }
  CHECK(written == std::vector<std::string>{"1", "1000"});
}

TEST_CASE("FileStore: a failing write is retried and reported once, then the newest content is written") {
  std::atomic<bool> failing = true;
  std::atomic<int> attempts = 0;
  std::vector<std::string> errors;
  std::vector<std::string> written;
  {
    FileStore store(
        [&](const std::string&, const std::string& bytes, std::string* error) {
          ++attempts;
          if (failing) {
            *error = "no room";
          }
          if (!failing) {
            written.push_back(bytes);
          }
          return !failing;
        },
        [&](const std::string& error) { errors.push_back(error); }, milliseconds(1), milliseconds(4));
    store.Put("a", "old");
    while (attempts < 5) {
      std::this_thread::yield();
    }
    store.Put("a", "new");
    failing = false;
    REQUIRE(store.Flush(milliseconds(10000)));
    CHECK(store.failed() >= 4);
    failing = true;
    store.Put("a", "last");  // the destructor tries once more and does not retry
  }
  CHECK(written.back() == "new");
  CHECK(errors == std::vector<std::string>{"no room", "", "no room"});
}

TEST_CASE("DecodeCursors: corrupted or truncated cursors are rejected as a unit") {
  using integrity::Cursors;
  using integrity::DecodeCursors;
  const Cursors cursors = {{"clinic letters", {160, 3, 1'700'000'000'000'000}}, {"x", {}}};
  const std::string bytes = integrity::Encode(cursors);
  std::string error;
  CHECK(DecodeCursors(bytes, &error) == cursors);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(DecodeCursors(bytes.substr(0, size), &error));
  }
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    std::string bad = bytes;
    bad[i] = static_cast<char>(bad[i] ^ 1);
    CHECK_MESSAGE(!DecodeCursors(bad, &error), "a flipped bit in byte ", i, " was not detected");
  }
  CHECK_FALSE(DecodeCursors("walnutspur-scrub 2\nanything", &error));
  CHECK(error == "has a newer format version than this program supports");
}

}  // namespace
}  // namespace walnutspur::filestore
