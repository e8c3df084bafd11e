// Class CorruptionLogFile loads and atomically replaces the file of the corruption log. All calls may block
// on the disk: it is used by the file store's thread and by command-line tools, never on an event loop's
// thread.
#ifndef WALNUTSPUR_INTEGRITY_CORRUPTION_LOG_FILE_H_
#define WALNUTSPUR_INTEGRITY_CORRUPTION_LOG_FILE_H_

#include <string>
#include <utility>

#include "integrity/corruption_log.h"

namespace walnutspur::integrity {

constexpr const char* kCorruptionLogName = "damage.ledger";

// The corruption log's file in `folder`.
class CorruptionLogFile {
 public:
  explicit CorruptionLogFile(std::string folder) : folder_(std::move(folder)) {}

  enum class LoadResult { kMissing, kLoaded, kRejected };
  // Reads the file into `log`. If the file is rejected, sets `*error` to a one-line message; the file stays
  // as it is until the next Write, which renames it instead of replacing it.
  LoadResult Load(CorruptionLog* log, std::string* error);
  // Writes the bytes that CorruptionLog::Encode returned. Returns false and sets `*error` to a one-line
  // message if they could not be made durable; the old file is then unchanged.
  bool Write(const std::string& bytes, std::string* error);
  bool Save(CorruptionLog& log, std::string* error) { return Write(log.Encode(), error); }
  std::string path() const { return folder_ + "/" + kCorruptionLogName; }

 private:
  std::string folder_;
  bool rejected_ = false;  // Load rejected the current file
};

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_CORRUPTION_LOG_FILE_H_
