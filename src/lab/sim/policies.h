// Scheduling policies by name, behind the interface of the Scheduler: the scheduler itself, and the baselines
// that it is compared with.
#ifndef WALNUTSPUR_LAB_SIM_POLICIES_H_
#define WALNUTSPUR_LAB_SIM_POLICIES_H_

#include <cstdint>
#include <string>

#include "core/engine.h"

namespace walnutspur::lab::sim {

// The policy of a name: "walnutspur" is the Scheduler; "at-once", "buckets" and "least-out" are the kinds of
// BaselinePolicy. `seed` starts its random draws. Throws ExperimentError for any other name.
core::DecisionFunction MakePolicy(const std::string& name, const Settings& settings, std::uint64_t seed);

}  // namespace walnutspur::lab::sim

#endif  // WALNUTSPUR_LAB_SIM_POLICIES_H_
