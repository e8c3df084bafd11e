// The parts of the benchmark. Each starts its own test environment and reports claims to the run, on main's
// thread.
#ifndef WALNUTSPUR_BENCH_INTEGRITY_PARTS_H_
#define WALNUTSPUR_BENCH_INTEGRITY_PARTS_H_

#include "run.h"

namespace walnutspur::bench {

// Injected corruption of NBD exports: detected, attributed to the right fault, never delivered.
void MeasureNbdCorruption(Run& run);
// The same for objects by HTTP.
void MeasureHttpCorruption(Run& run);
// Reads beside overlapping writes without any fault: no false alarm.
void MeasureCleanBlocks(Run& run);
// Crashes of the initiator and the storage server, and power cuts: no acknowledged write is lost.
void MeasureCrashes(Run& run);
// The service of client reads beside the scrub.
void MeasureScrub(Run& run);
// Processor time that checksums cost per request.
void MeasureCost(Run& run);

}  // namespace walnutspur::bench

#endif  // WALNUTSPUR_BENCH_INTEGRITY_PARTS_H_
