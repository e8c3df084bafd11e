// What is known of damage, whichever wire it was met on: the open cases, the damage ledger, and the folder
// that keeps the ledger from one start to the next.
//
// Runs on the loop's thread and owns the keeper's, which alone touches the folder once this is made.
#ifndef WALNUTSPUR_CHECKSUMMED_CORRUPTION_TRACKER_H_
#define WALNUTSPUR_CHECKSUMMED_CORRUPTION_TRACKER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "filestore/file_store.h"
#include "integrity/blame.h"
#include "integrity/ledger.h"
#include "loop/loop.h"

namespace walnutspur::checksummed {

class CorruptionTracker {
 public:
  // `folder` keeps the ledger, empty: memory only. A ledger there that cannot be read is logged and left
  // alone.
  CorruptionTracker(event_base* base, const std::string& folder);
  ~CorruptionTracker();
  CorruptionTracker(const CorruptionTracker&) = delete;
  CorruptionTracker& operator=(const CorruptionTracker&) = delete;

  // One reading of a block, or of an object by HTTP, on a box with so many paths. A verdict goes into the
  // ledger and the log.
  std::optional<integrity::Verdict> Note(const integrity::Place& place, int paths,
                                         const integrity::Reading& reading, Time now);
  // A good reading would say nothing now: no case is open and nothing is known to be bad.
  bool calm() const { return cases_.open() == 0 && ledger_.bad() == 0; }

  const integrity::Cases& cases() const { return cases_; }
  const integrity::Ledger& ledger() const { return ledger_; }
  filestore::FileStore* file_store() { return keeper_.get(); }  // null: nothing is kept
  const std::string& folder() const { return folder_; }
  std::uint64_t mismatches() const { return mismatches_; }  // bad readings
  std::uint64_t verdicts() const { return verdicts_; }

 private:
  void Save();

  std::string folder_;
  integrity::Cases cases_;
  integrity::Ledger ledger_;
  std::uint64_t mismatches_ = 0, verdicts_ = 0;
  std::unique_ptr<integrity::LedgerFile> file_;  // the keeper's thread writes it
  std::unique_ptr<filestore::FileStore> keeper_;
  loop::EventHandle save_;
  bool saving_ = false;  // the timer runs: later verdicts must not put it off
};

}  // namespace walnutspur::checksummed

#endif  // WALNUTSPUR_CHECKSUMMED_CORRUPTION_TRACKER_H_
