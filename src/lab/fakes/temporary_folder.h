// Provides a temporary folder for the files of a process under test.
//
// Removed on destruction by its owner, a test or a test environment. Used by one thread at a time.
#ifndef WALNUTSPUR_LAB_FAKES_TEMPORARY_FOLDER_H_
#define WALNUTSPUR_LAB_FAKES_TEMPORARY_FOLDER_H_

#include <stdexcept>
#include <string>

namespace walnutspur::lab {

// Thrown if the folder cannot be created.
class TemporaryFolderError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A new folder with a unique name, removed with all files in it on destruction.
class TemporaryFolder {
 public:
  TemporaryFolder();  // throws TemporaryFolderError
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::string& path() const { return path_; }
  // Writes a file into the folder and returns its path.
  std::string Put(const std::string& name, const std::string& text) const;

 private:
  std::string path_;
};

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_FAKES_TEMPORARY_FOLDER_H_
