// The file of the corruption log, which is replaced atomically. All calls may block on the disk: used by the
// file store's thread and by command-line tools, never on an event loop's thread.
#ifndef WALNUTSPUR_INTEGRITY_CORRUPTION_LOG_FILE_H_
#define WALNUTSPUR_INTEGRITY_CORRUPTION_LOG_FILE_H_

#include <string>
#include <utility>

#include "integrity/corruption_log.h"

namespace walnutspur::integrity {

constexpr const char* kCorruptionLogName = "damage.ledger";

// The corruption log in `folder`.
class CorruptionLogFile {
 public:
  explicit CorruptionLogFile(std::string folder) : folder_(std::move(folder)) {}

  enum class LoadResult { kMissing, kLoaded, kRejected };
  // Reads the file into `log`. A file that is rejected, with one line in `error`, stays as it is until the
  // next Write, which moves it aside instead of replacing it.
  LoadResult Load(CorruptionLog* log, std::string* error);
  // Writes what CorruptionLog::Encode returned. False, with one line in `error`, if it could not be made
  // durable; the old file is then still there.
  bool Write(const std::string& bytes, std::string* error);
  bool Save(CorruptionLog& log, std::string* error) { return Write(log.Encode(), error); }
  std::string path() const { return folder_ + "/" + kCorruptionLogName; }

 private:
  std::string folder_;
  bool rejected_ = false;  // the file that is there now
};

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_CORRUPTION_LOG_FILE_H_
