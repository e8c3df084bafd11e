// What is known of corruption, whichever protocol it was detected on: open investigations, the corruption
// log, and the folder that stores the log from one process to the next.
//
// Owned by the initiator; runs on the event loop's thread. The folder is written by the file store's thread
// alone once this has been constructed.
#ifndef WALNUTSPUR_CHECKSUMMED_CORRUPTION_TRACKER_H_
#define WALNUTSPUR_CHECKSUMMED_CORRUPTION_TRACKER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "filestore/file_store.h"
#include "integrity/corruption_log_file.h"
#include "integrity/fault_attribution.h"
#include "loop/loop.h"

namespace walnutspur::checksummed {

class CorruptionTracker {
 public:
  // `folder` stores the log; empty: it is in memory only. A log there that cannot be read is reported and not
  // changed.
  CorruptionTracker(event_base* base, const std::string& folder);
  ~CorruptionTracker();
  CorruptionTracker(const CorruptionTracker&) = delete;
  CorruptionTracker& operator=(const CorruptionTracker&) = delete;

  // Adds a reading of a block, or of an HTTP object, on a target with so many paths. An attribution is added
  // to the corruption log and logged as an event.
  std::optional<integrity::FaultAttribution> AddReading(const integrity::BlockLocation& location, int paths,
                                                        const integrity::Reading& reading, Time now);
  // No investigation is open and no block is known to be corrupt, so that a good reading has no effect.
  bool has_no_known_corruption() const {
    return investigations_.open_count() == 0 && corruption_log_.corrupt_count() == 0;
  }

  const integrity::CorruptionInvestigations& investigations() const { return investigations_; }
  const integrity::CorruptionLog& corruption_log() const { return corruption_log_; }
  filestore::FileStore* file_store() { return file_store_.get(); }  // null: nothing is stored
  const std::string& folder() const { return folder_; }
  std::uint64_t mismatches() const { return mismatches_; }      // readings that did not match
  std::uint64_t attributions() const { return attributions_; }  // since the start

 private:
  void LoadLog();
  void SaveLog();

  std::string folder_;
  integrity::CorruptionInvestigations investigations_;
  integrity::CorruptionLog corruption_log_;
  std::uint64_t mismatches_ = 0;
  std::uint64_t attributions_ = 0;
  std::unique_ptr<integrity::CorruptionLogFile> log_file_;  // written on the file store's thread
  std::unique_ptr<filestore::FileStore> file_store_;
  loop::EventHandle save_timer_;
  bool save_scheduled_ = false;  // later attributions must not postpone the save
};

}  // namespace walnutspur::checksummed

#endif  // WALNUTSPUR_CHECKSUMMED_CORRUPTION_TRACKER_H_
