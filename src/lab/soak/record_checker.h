// Judges the record of a run on real processes by the invariants of lab/invariants.
//
// Pure functions over a record; any thread.
#ifndef WALNUTSPUR_LAB_SOAK_RECORD_CHECKER_H_
#define WALNUTSPUR_LAB_SOAK_RECORD_CHECKER_H_

#include <vector>

#include "lab/invariants/invariant_checker.h"
#include "lab/soak/record.h"

namespace walnutspur::lab::soak {

using invariants::Violation;

// What the verdict on a run depends on, besides its record.
struct CheckOptions {
  Time drain_grace = 500'000;  // us, of the processes' settings
  Time write_delay = 0;        // us by which the run's faults delay a process between its clock and a write
};

// All violations, in order of time; what is judged at the end of the run comes last.
std::vector<Violation> FindViolations(const Record& record, const CheckOptions& options);

// Part of the clients' requests that were served, among those sent from `from` until `until`; 1 without any.
double ServedFraction(const Record& record, Time from, Time until);

}  // namespace walnutspur::lab::soak

#endif  // WALNUTSPUR_LAB_SOAK_RECORD_CHECKER_H_
