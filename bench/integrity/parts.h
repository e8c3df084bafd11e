// Declares the parts of the benchmark. Each part starts its own test environment and reports claims to the
// run, on main's thread.
#ifndef WALNUTSPUR_BENCH_INTEGRITY_PARTS_H_
#define WALNUTSPUR_BENCH_INTEGRITY_PARTS_H_

#include "run.h"

namespace walnutspur::bench {

// Verifies that injected corruption of NBD exports is detected, attributed to the right fault and never
// delivered.
void MeasureNbdCorruption(Run& run);
// Verifies the same for objects that are read by HTTP.
void MeasureHttpCorruption(Run& run);
// Verifies that reads during overlapping writes without any fault cause no false alarm.
void MeasureCleanBlocks(Run& run);
// Verifies that crashes of the initiator and the storage server, and power cuts, lose no acknowledged write.
void MeasureCrashes(Run& run);
// Measures the service of client reads during a scrub.
void MeasureScrub(Run& run);
// Measures the processor time of checksums per request.
void MeasureCost(Run& run);

}  // namespace walnutspur::bench

#endif  // WALNUTSPUR_BENCH_INTEGRITY_PARTS_H_
