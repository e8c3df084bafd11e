// Checks the record of a run on real processes against the invariants of lab/invariants.
//
// Pure functions over a record; any thread.
#ifndef WALNUTSPUR_LAB_SOAK_RECORD_CHECKER_H_
#define WALNUTSPUR_LAB_SOAK_RECORD_CHECKER_H_

#include <vector>

#include "lab/invariants/invariant_checker.h"
#include "lab/soak/record.h"

namespace walnutspur::lab::soak {

using invariants::Violation;

// Parameters of a check besides the record.
struct CheckOptions {
  Time drain_grace = 500'000;  // us, of the processes' settings
  Time write_delay = 0;        // us by which faults may delay a process between reading its clock and a write
};

// Returns all violations, in order of time. Violations found at the end of the run come last.
std::vector<Violation> FindViolations(const Record& record, const CheckOptions& options);

// Returns the fraction of requests sent from `from` until `until` that were served, or 1 if none was sent.
double ServedFraction(const Record& record, Time from, Time until);

}  // namespace walnutspur::lab::soak

#endif  // WALNUTSPUR_LAB_SOAK_RECORD_CHECKER_H_
