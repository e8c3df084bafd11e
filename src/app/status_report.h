// The status of a running process as JSON, for operators.
//
// Reads on the event-loop thread; changes nothing.
#ifndef WALNUTSPUR_APP_STATUS_REPORT_H_
#define WALNUTSPUR_APP_STATUS_REPORT_H_

#include <string>

#include "checksummed/checksummed_exports.h"
#include "checksummed/corruption_tracker.h"
#include "checksummed/scrub.h"
#include "nbd/config.h"

namespace walnutspur::app {

// What the report is about; owned by the Initiator.
struct StatusSources {
  const nbd::Config* nbd = nullptr;
  const checksummed::CorruptionTracker* corruption = nullptr;
  checksummed::ChecksummedExports* exports = nullptr;  // null: no NBD front end
  const checksummed::Scrub* scrub = nullptr;           // null: no scrub
};

// The report, indented, with a line end.
std::string StatusReport(const StatusSources& sources);

}  // namespace walnutspur::app

#endif  // WALNUTSPUR_APP_STATUS_REPORT_H_
