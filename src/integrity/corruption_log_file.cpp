#include "integrity/corruption_log_file.h"

#include <cstdio>
#include <optional>

#include "filestore/atomic_file.h"

namespace walnutspur::integrity {

CorruptionLogFile::LoadResult CorruptionLogFile::Load(CorruptionLog* log, std::string* error) {
  const std::optional<std::string> bytes = filestore::ReadFile(path());
  if (!bytes) {
    return LoadResult::kMissing;
  }
  std::string decode_error;
  if (log->Decode(*bytes, &decode_error)) {
    return LoadResult::kLoaded;
  }
  *error = path() + " " + decode_error;
  rejected_ = true;
  return LoadResult::kRejected;
}

bool CorruptionLogFile::Write(const std::string& bytes, std::string* error) {
  if (rejected_) {
    std::rename(path().c_str(), (path() + ".refused").c_str());
    rejected_ = false;
  }
  return filestore::WriteFileAtomically(folder_, kCorruptionLogName, bytes, error);
}

}  // namespace walnutspur::integrity
