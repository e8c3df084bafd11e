// Runs soak plans on real processes, checks the invariants, and shrinks plans that violate an invariant.
//
// Each run has its own processes and fakes; runs on several threads share no state.
#ifndef WALNUTSPUR_LAB_SOAK_RUN_H_
#define WALNUTSPUR_LAB_SOAK_RUN_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "lab/soak/plan.h"
#include "lab/soak/record.h"
#include "lab/soak/record_checker.h"

namespace walnutspur::lab::soak {

// Paths of the programs under test.
struct SoakPrograms {
  std::string program;     // path of the walnutspur program
  std::string fault_shim;  // path of the library to preload; empty: system faults of plans are left out
};

struct SoakResult {
  std::vector<Violation> violations;
  std::map<int, std::string> logs;  // of the processes, if an invariant is violated
  Record record;                    // if an invariant is violated
  std::string load_before;          // line of /proc/loadavg
  std::string load_after;
  std::size_t requests = 0;
  std::size_t attempts = 0;
  double served_fraction = 0;  // of the requests
  Time longest_stall =
      0;  // us, longest delay of the event loop of the fakes: a long one makes their times inexact
};

// Runs a plan. Takes the duration of the plan and a few seconds more.
SoakResult RunPlan(const SoakPlan& plan, const SoakPrograms& programs);

// Returns a plan that is smaller if possible and still violates an invariant. Tries to remove each event in
// turn, then all system faults, and keeps a removal if a run without them still violates an invariant. Makes
// at most `max_runs` runs.
SoakPlan Shrink(const SoakPlan& plan, const SoakPrograms& programs, int max_runs);

}  // namespace walnutspur::lab::soak

#endif  // WALNUTSPUR_LAB_SOAK_RUN_H_
