// Creates scheduling policies by name: the Scheduler itself and the baselines that it is compared with, all
// with the interface of the Scheduler.
#ifndef WALNUTSPUR_LAB_SIM_POLICIES_H_
#define WALNUTSPUR_LAB_SIM_POLICIES_H_

#include <cstdint>
#include <string>

#include "core/engine.h"

namespace walnutspur::lab::sim {

// Returns the policy with this name: "walnutspur" is the Scheduler; "at-once", "buckets" and "least-out" are
// the kinds of BaselinePolicy. `seed` seeds its random draws. Throws ExperimentError for any other name.
core::DecisionFunction MakePolicy(const std::string& name, const Settings& settings, std::uint64_t seed);

}  // namespace walnutspur::lab::sim

#endif  // WALNUTSPUR_LAB_SIM_POLICIES_H_
