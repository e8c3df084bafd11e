// Checks the invariants of lab/invariants on the event log of a simulated run, entry by entry.
//
// Owned by the reader of the log; used on one thread.
#ifndef WALNUTSPUR_LAB_SIM_LOG_CHECKER_H_
#define WALNUTSPUR_LAB_SIM_LOG_CHECKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lab/invariants/invariant_checker.h"
#include "lab/sim/event_log.h"
#include "lab/sim/log_events.h"

namespace walnutspur::lab::sim {

// A violated invariant, and the entry of the log that shows it.
struct LogViolation : invariants::Violation {
  LogEntry entry;
};

class LogChecker {
 public:
  LogChecker();
  LogChecker(const LogChecker&) = delete;
  LogChecker& operator=(const LogChecker&) = delete;

  // Checks the invariants on the next entry of the log.
  void Observe(const LogEntry& entry);

  // Returns the first violation of each invariant, in the order of the log.
  const std::vector<LogViolation>& violations() const { return first_violations_; }
  // Returns the number of violations by name of the invariant.
  const std::map<std::string, std::uint64_t>& counts() const { return counts_; }
  bool clean() const { return counts_.empty(); }

 private:
  void Add(const invariants::Violation& violation);

  LogEventReader reader_;
  invariants::InvariantChecker checker_;
  LogEntry entry_;  // the last one
  std::vector<LogViolation> first_violations_;
  std::map<std::string, std::uint64_t> counts_;
};

}  // namespace walnutspur::lab::sim

#endif  // WALNUTSPUR_LAB_SIM_LOG_CHECKER_H_
