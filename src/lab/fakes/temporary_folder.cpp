#include "lab/fakes/temporary_folder.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace walnutspur::lab {

TemporaryFolder::TemporaryFolder() : path_(std::filesystem::temp_directory_path() / "walnutspur-lab-XXXXXX") {
  if (!mkdtemp(path_.data())) {
    throw TemporaryFolderError("cannot create a temporary folder");
  }
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

std::string TemporaryFolder::Put(const std::string& name, const std::string& text) const {
  std::string path = path_ + "/" + name;
  std::ofstream(path, std::ios::binary) << text;
  return path;
}

}  // namespace walnutspur::lab
