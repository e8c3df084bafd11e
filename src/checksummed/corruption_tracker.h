// Class CorruptionTracker records the known corruption of blocks and HTTP objects: open investigations, the
// corruption log, and the folder that preserves the log across restarts. Called by PathTracker for blocks and
// by the initiator for HTTP objects.
//
// Owned by the initiator; runs on the event loop's thread. After construction, only the file store's thread
// writes to the folder. If the folder cannot be written, an event is logged, serving continues, and the
// latest log is written as soon as the folder is writable again.
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
  // `folder` is the folder that stores the log; if it is empty, the log is held in memory only. If a stored
  // log cannot be decoded, an event is logged and the next save moves the file aside.
  CorruptionTracker(event_base* base, const std::string& folder);
  ~CorruptionTracker();
  CorruptionTracker(const CorruptionTracker&) = delete;
  CorruptionTracker& operator=(const CorruptionTracker&) = delete;

  // Adds a reading of a block or of an HTTP object on a target that has `paths` paths. Returns the fault
  // attribution if this reading completes one; it is also added to the corruption log and logged as an event.
  std::optional<integrity::FaultAttribution> AddReading(const integrity::BlockLocation& location, int paths,
                                                        const integrity::Reading& reading, Time now);
  // Returns whether no investigation is open and no block is known to be corrupt. A good reading has no
  // effect in this state.
  bool has_no_known_corruption() const {
    return investigations_.open_count() == 0 && corruption_log_.corrupt_count() == 0;
  }

  const integrity::CorruptionInvestigations& investigations() const { return investigations_; }
  const integrity::CorruptionLog& corruption_log() const { return corruption_log_; }
  filestore::FileStore* file_store() { return file_store_.get(); }  // null if nothing is stored
  const std::string& folder() const { return folder_; }

 private:
  void LoadLog();
  void SaveLog();

  std::string folder_;
  integrity::CorruptionInvestigations investigations_;
  integrity::CorruptionLog corruption_log_;
  std::unique_ptr<integrity::CorruptionLogFile> log_file_;  // written on the file store's thread
  std::unique_ptr<filestore::FileStore> file_store_;
  loop::EventHandle save_timer_;
  bool save_scheduled_ = false;  // later attributions do not postpone a scheduled save
};

}  // namespace walnutspur::checksummed

#endif  // WALNUTSPUR_CHECKSUMMED_CORRUPTION_TRACKER_H_
