// Runs soak plans on real processes, checks the invariants, and shrinks plans that violate one.
//
// Each run has its own processes and stand-ins; runs on several threads do not share anything.
#ifndef WALNUTSPUR_LAB_SOAK_RUN_H_
#define WALNUTSPUR_LAB_SOAK_RUN_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "lab/soak/plan.h"
#include "lab/soak/record_checker.h"

namespace walnutspur::lab::soak {

// What is under test.
struct SoakPrograms {
  std::string program;     // path of the walnutspur program
  std::string fault_shim;  // path of the library to preload; empty: system faults of plans are left out
};

struct SoakResult {
  std::vector<Violation> violations;
  std::map<int, std::string> logs;  // of the processes, if an invariant is violated
  std::size_t requests = 0;
  std::size_t attempts = 0;
  double served_fraction = 0;  // of the requests
  Time longest_stall = 0;  // us that the stand-ins were late at most: a long one makes their times inexact
};

// Runs a plan, which takes its duration and some seconds more.
SoakResult RunPlan(const SoakPlan& plan, const SoakPrograms& programs);

// Drops events, system faults and processes for as long as an invariant is still violated, in at most
// `max_runs` runs.
SoakPlan Shrink(const SoakPlan& plan, const SoakPrograms& programs, int max_runs);

}  // namespace walnutspur::lab::soak

#endif  // WALNUTSPUR_LAB_SOAK_RUN_H_
