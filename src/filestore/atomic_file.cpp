#include "filestore/atomic_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <sstream>

namespace walnutspur::filestore {
namespace {

constexpr mode_t kFileMode = 0640;

bool WriteAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t size = write(fd, bytes.data(), bytes.size());
    if (size < 0 && errno == EINTR) {
      continue;
    }
    if (size <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(size));
  }
  return true;
}

// Writes and syncs a new file. Returns null, or the step that failed, with its error in errno.
const char* WriteAndSync(const std::string& path, std::string_view bytes) {
  const int fd = open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode);
  if (fd < 0) {
    return "cannot open";
  }
  if (!WriteAll(fd, bytes)) {
    close(fd);
    return "cannot write";
  }
  // After an error of fsync the content on the disk is unknown, and a second fsync may succeed without having
  // written it: the new file is discarded.
  if (fsync(fd) != 0) {
    close(fd);
    return "cannot sync";
  }
  close(fd);
  return nullptr;
}

bool SyncFolder(const std::string& folder) {
  const int fd = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) {
    return false;
  }
  const bool synced = fsync(fd) == 0;
  close(fd);
  return synced;
}

}  // namespace

bool WriteFileAtomically(const std::string& folder, const std::string& name, std::string_view bytes,
                         std::string* error) {
  const std::string path = folder + "/" + name;
  const std::string next = path + ".new";
  const auto fail = [&](const char* step) {
    *error = std::string(step) + " " + next + ": " + std::strerror(errno);
    std::remove(next.c_str());
    return false;
  };
  if (const char* failed_step = WriteAndSync(next, bytes)) {
    return fail(failed_step);
  }
  if (std::rename(next.c_str(), path.c_str()) != 0) {
    return fail("cannot rename");
  }
  if (!SyncFolder(folder)) {
    return fail("cannot sync the folder of");
  }
  return true;
}

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  std::stringstream bytes;
  bytes << file.rdbuf();
  if (file.bad() || bytes.bad()) {
    return std::nullopt;
  }
  return bytes.str();
}

}  // namespace walnutspur::filestore
