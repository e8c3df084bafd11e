// Reports the status of a running process as JSON, for operators.
//
// Called on the event-loop thread; changes no state.
#ifndef WALNUTSPUR_APP_STATUS_REPORT_H_
#define WALNUTSPUR_APP_STATUS_REPORT_H_

#include <string>

#include "checksummed/checksummed_exports.h"
#include "checksummed/corruption_tracker.h"
#include "checksummed/scrub.h"
#include "nbd/config.h"

namespace walnutspur::app {

// The components whose status is reported; owned by the Initiator.
struct StatusSources {
  const nbd::Config* nbd = nullptr;
  const checksummed::CorruptionTracker* corruption = nullptr;
  checksummed::ChecksummedExports* exports = nullptr;  // null: no NBD front end
  const checksummed::Scrub* scrub = nullptr;           // null: no scrub
};

// Returns the report as indented JSON that ends with a line break.
std::string StatusReport(const StatusSources& sources);

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_STATUS_REPORT_H_
