// A temporary file in /tmp for tests. Owned by the test that declares it; used by one thread at a time.
#ifndef WALNUTSPUR_TESTS_SUPPORT_TEMPORARY_FILE_H_
#define WALNUTSPUR_TESTS_SUPPORT_TEMPORARY_FILE_H_

#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

namespace walnutspur::test {

// Class TemporaryFile creates a file with the given content under a unique name; its destructor removes the
// file.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& content = "") {
    close(mkstemp(path_.data()));
    std::ofstream(path_) << content;
  }
  ~TemporaryFile() { std::remove(path_.c_str()); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  // Returns the file's absolute path.
  const std::string& path() const { return path_; }

 private:
  std::string path_ = "/tmp/walnutspur-test-XXXXXX";
};

}  // namespace walnutspur::test

#endif  // WALNUTSPUR_TESTS_SUPPORT_TEMPORARY_FILE_H_
