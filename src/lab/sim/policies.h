// Decisions by name, behind the Scheduler's interface: the module's own, and baselines of ours to hold it
// against. None of the baselines learns anything; each keeps the rules that any initiator must keep.
#ifndef WALNUTSPUR_LAB_SIM_POLICIES_H_
#define WALNUTSPUR_LAB_SIM_POLICIES_H_

#include <cstdint>
#include <string>

#include "core/engine.h"

namespace walnutspur::lab {

// "walnutspur"; "at-once": everything goes out as it comes; "buckets": even token buckets at the plans'
// rates, without the loop that moves them; "least-out": new objects to the box with the least outstanding,
// under a bound for each box. Throws std::runtime_error for any other name.
core::DecisionFunction MakePolicy(const std::string& name, const Settings& settings, std::uint64_t seed);

}  // namespace walnutspur::lab

#endif  // WALNUTSPUR_LAB_SIM_POLICIES_H_
